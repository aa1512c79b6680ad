#!/usr/bin/env bash
# Fails for each public item of a finished module (scripts/finished_modules.txt) without a documentation comment that
# Doxygen reads, and for each one that it can't read. `check_docs.sh [FOLDER]` looks at another folder of the same form.
set -euo pipefail
cd "${1:-$(dirname "$0")/..}"
modules=$(sed 's/[[:space:]]*#.*//; /^$/d' scripts/finished_modules.txt)
headers=$(for module in $modules; do find "$module" -name '*.h' -not -path 'tests/*'; done | sort -u)
if [ -z "$headers" ]; then
  echo "docs: no header of a finished module"
  exit 0
fi
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
# Doxygen tells of functions, enums and constants only in files and namespaces that are documented themselves.
for header in $headers; do printf '/** \\file %s\n * A file. */\n' "$header"; done >"$dir/places.dox"
# shellcheck disable=SC2086
sed -nE 's/^(inline )?namespace ([A-Za-z_][A-Za-z0-9_:]*) \{.*/\2/p' $headers | sort -u |
  while read -r name; do printf '/** \\namespace %s\n * A namespace. */\n' "$name"; done >>"$dir/places.dox"
# A header may specialise a template of std, as error.h does std::is_error_code_enum. Doxygen sees no header of std, so
# without its scope it calls such a specialisation an internal inconsistency. Nothing else of std is read or asked for.
printf '/** \\namespace std\n * A namespace. */\n' >>"$dir/places.dox"
# A documentation comment is ///, or /** */. Functions need no list of their parameters: their names and the sentence say it.
cat >"$dir/Doxyfile" <<END
QUIET = YES
INPUT = $dir/places.dox $(echo "$headers" | tr '\n' ' ')
FULL_PATH_NAMES = YES
STRIP_FROM_PATH = $PWD
SEARCH_INCLUDES = NO
GENERATE_HTML = NO
GENERATE_LATEX = NO
GENERATE_XML = YES
OUTPUT_DIRECTORY = $dir
EXTRACT_ALL = NO
WARNINGS = YES
WARN_IF_UNDOCUMENTED = YES
WARN_IF_DOC_ERROR = YES
WARN_NO_PARAMDOC = NO
WARN_LOGFILE = $dir/warnings
JAVADOC_AUTOBRIEF = YES
END
doxygen "$dir/Doxyfile" >/dev/null
# What is defaulted or deleted says itself what it does.
sed "s|^$PWD/||" "$dir/warnings" | grep -vE '(=default|=delete) .*is not documented' | sort -u | sort -t: -k1,1 -k2,2n >"$dir/told" || true
if [ -s "$dir/told" ]; then
  cat "$dir/told"
  echo "docs: public items of finished modules without documentation"
  exit 1
fi
echo "docs: every public item of the finished modules has its comment"
