#!/usr/bin/env bash
# scripts/check_names.sh and check_docs.sh on a folder of their own: what they find in a finished module, and what not.
root=$(cd "$(dirname "$0")/.." && pwd)
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
failures=0
fail() {
  echo "FAILED: $1"
  failures=$((failures + 1))
}

mkdir -p "$dir/scripts" "$dir/src/done" "$dir/src/other"
cp "$root"/scripts/withdrawn_words.txt "$root"/scripts/allowed_words.txt "$dir/scripts/"
printf '# a remark\nsrc/done\n' >"$dir/scripts/finished_modules.txt"
good='/// Counts requests.\nint requests();\n'

# check EXPECTED-STATUS SCRIPT: its output stays in $dir/out.
check() {
  "$root/scripts/$2" "$dir" >"$dir/out" 2>&1
  local code=$?
  [ "$code" -eq "$1" ] || fail "$what: $2 ended with $code: $(cat "$dir/out")"
}

# finds TEXT WORD: the text is line 3 of a header in the finished module, and the word is told with file and line.
finds() {
  what="'$1'"
  printf '/// Counts.\nint requests();\n%s\n' "$1" >"$dir/src/done/a.h"
  check 1 check_names.sh
  grep -qF "src/done/a.h:3: \"$2\" is withdrawn" "$dir/out" || fail "$what: not told: $(cat "$dir/out")"
}

passes() {
  what="'$1'"
  printf '/// Counts.\nint requests();\n%s\n' "$1" >"$dir/src/done/a.h"
  check 0 check_names.sh
}

what='a clean module'
# shellcheck disable=SC2059
printf "$good" >"$dir/src/done/a.h"
check 0 check_names.sh

finds 'bool makeRoom();' 'make room'
finds 'int make_room = 0;' 'make room'
finds 'constexpr int kSchoolShare = 1;' 'school'
finds 'class Hearsay;' 'hearsay'
finds '// of one school alone' 'school'
finds '// in made-up time' 'made up'
finds '// as makeRoom() does' 'make room'
finds 'log("the sidecar is deaf");' 'deaf'
finds 'std::vector<int> spare_;' 'spare'
finds 'void over();' 'over'
finds 'namespace orchiddrum {' 'orchiddrum'
finds 'Plays plays_;' 'play'
finds 'int a; void tend(int b);' 'tend'

passes 'int extended = password + sparse + display + foreword;'
passes '// in other words, it tends to look for a place and gives news of the world'
passes 'int lookUpTable = lookUp(key);'
passes 'int carriedOver = overflow;'
passes '#include "peers/plays.h"'
passes 'table.number("school_share", 0, 1); status["deaf"] = false;'

what='a name of a file'
# shellcheck disable=SC2059
printf "$good" >"$dir/src/done/a.h"
# shellcheck disable=SC2059
printf "$good" >"$dir/src/done/sidecar_rig.h"
check 1 check_names.sh
grep -qF 'src/done/sidecar_rig.h:0: "rig" is withdrawn' "$dir/out" || fail "$what: $(cat "$dir/out")"
rm "$dir/src/done/sidecar_rig.h"

what='a module that is not finished'
printf 'class Hearsay;\n' >"$dir/src/other/b.h"
check 0 check_names.sh
check 0 check_docs.sh

what='a module that is not there'
printf 'src/done\nsrc/nowhere\n' >"$dir/scripts/finished_modules.txt"
check 1 check_names.sh
grep -qF "'src/nowhere' is no file or folder" "$dir/out" || fail "$what: $(cat "$dir/out")"
printf 'src/done\n' >"$dir/scripts/finished_modules.txt"

what='an exception without its reason'
printf '* | Hearsay |\n' >>"$dir/scripts/allowed_words.txt"
check 1 check_names.sh
cp "$root/scripts/allowed_words.txt" "$dir/scripts/"

what='a public item without documentation'
printf '/// Counts.\nint requests();\n\n/// Holds.\nclass Held {\n public:\n  int size() const;\n};\n' >"$dir/src/done/a.h"
check 1 check_docs.sh
grep -q 'src/done/a.h:7: .*size.* is not documented' "$dir/out" || fail "$what: not told: $(cat "$dir/out")"

what='a comment that Doxygen does not read'
printf '// Counts.\nint requests();\nnamespace a {\n// Holds.\nstruct Held {\n  /// Its size.\n  int size = 0;\n};\n}\n' >"$dir/src/done/a.h"
check 1 check_docs.sh
grep -q 'Held.* is not documented' "$dir/out" || fail "$what: not told: $(cat "$dir/out")"

what='a private item without documentation'
printf '/// Holds.\nclass Held {\n public:\n  /// Its size.\n  int size() const;\n\n private:\n  int size_ = 0;\n};\n' >"$dir/src/done/a.h"
check 0 check_docs.sh

# Doxygen reads no header of std, so the scope of the specialisation isn't in what it is given.
special='#include <type_traits>\nnamespace a {\n/// Faults.\nenum class Fault { None /**< none */ };\nNOTE\nint count(Fault fault);\n}\ntemplate <>\nstruct std::is_error_code_enum<a::Fault> : std::true_type {};\n'
what='a specialisation of a template of std'
# shellcheck disable=SC2059
printf "${special/NOTE//// Counts.}" >"$dir/src/done/a.h"
check 0 check_docs.sh

what='a public item without documentation beside a specialisation of a template of std'
# shellcheck disable=SC2059
printf "${special/NOTE//}" >"$dir/src/done/a.h"
check 1 check_docs.sh
grep -q 'src/done/a.h:6: .*count.* is not documented' "$dir/out" || fail "$what: not told: $(cat "$dir/out")"

if [ "$failures" -eq 0 ]; then echo 'checks: all cases passed'; fi
exit "$failures"
