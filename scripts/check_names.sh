#!/usr/bin/env bash
# Fails with file:line for each withdrawn word in a finished module: in identifiers, comments, texts and names of
# files. `check_names.sh [FOLDER]` looks at another folder of the same form. Beside it, read from there:
# finished_modules.txt (where), withdrawn_words.txt (what), allowed_words.txt (exceptions, each with its reason).
set -euo pipefail
cd "${1:-$(dirname "$0")/..}"
modules=scripts/finished_modules.txt
words=scripts/withdrawn_words.txt
allowed=scripts/allowed_words.txt

bad=0
while read -r module; do
  if [ ! -e "$module" ]; then
    echo "$modules: '$module' is no file or folder"
    bad=1
  fi
done < <(sed 's/[[:space:]]*#.*//; /^$/d' "$modules")

grep -vE '^(#|$)' "$words" | grep -vE '^[a-z]+( [a-z]+)* \| (all|names|whole) \| .+$' && {
  echo "$words: each line is 'word | all, names or whole | term'"
  bad=1
}
grep -vE '^(#|$)' "$allowed" | grep -vE '^[^|]+ \| [^|]+ \| [^|]{5,}$' && {
  echo "$allowed: each line is 'path | text | reason'"
  bad=1
}
[ "$bad" -eq 0 ] || exit 1

files=$(sed 's/[[:space:]]*#.*//; /^$/d' "$modules" | while read -r module; do find "$module" -type f; done | sort -u)
if [ -z "$files" ]; then
  echo "names: no module is finished yet"
  exit 0
fi

# shellcheck disable=SC2016
checker='
  function trimmed(text) { gsub(/^[ \t]+|[ \t]+$/, "", text); return text }

  # The subwords of a text, in small letters, one space around each: " make room ".
  function subwords(text,    out, n, size, one, last, next_one) {
    out = " "
    size = length(text)
    last = ""
    for (n = 1; n <= size; ++n) {
      one = substr(text, n, 1)
      if (one !~ /[A-Za-z]/) {
        if (last != "") out = out " "
        last = ""
        continue
      }
      next_one = substr(text, n + 1, 1)
      if (last != "" && one ~ /[A-Z]/ && (last ~ /[a-z]/ || next_one ~ /[a-z]/)) out = out " "

      out = out tolower(one)
      last = one
    }
    gsub(/ +/, " ", out)
    return out " "
  }

  function holds(list, word) { return index(list, " " word " ") > 0 || index(list, " " word "s ") > 0 }

  function tell(where, word) {
    print where ": \"" word "\" is withdrawn; " term[word]
    found = 1
  }

  # Whether an identifier, as it stands in code, holds the word.
  function identifier_holds(identifier, n,    bare) {
    if (kind[n] == "whole") {
      bare = identifier
      sub(/_+$/, "", bare)
      return tolower(bare) == name[n]
    }
    return holds(subwords(identifier), name[n])
  }

  # A line of a comment names an identifier where it is of several subwords or a call.
  function compound(token) { return token ~ /[a-z][A-Z]/ || token ~ /_/ || token ~ /\($/ }

  function check_identifiers(text, only_compound, where,    token) {
    while (match(text, /[A-Za-z_][A-Za-z0-9_]*\(?/)) {
      token = substr(text, RSTART, RLENGTH)
      text = substr(text, RSTART + RLENGTH)
      if (only_compound && !compound(token)) continue
      sub(/\($/, "", token)
      for (n = 1; n <= count; ++n)
        if (kind[n] != "all" && !((where, n) in seen) && identifier_holds(token, n)) {
          seen[where, n] = 1
          tell(where, name[n])
        }
    }
  }

  function matches(path, pattern) {
    gsub(/[.+()\[\]^$]/, "\\\\&", pattern)
    gsub(/\*/, ".*", pattern)
    return path ~ ("^" pattern "$")
  }

  function without(line, text,    at) {
    while ((at = index(line, text)) > 0) line = substr(line, 1, at - 1) " " substr(line, at + length(text))
    return line
  }

  FILENAME == words_file {
    if ($0 ~ /^#/ || $0 == "") next
    split($0, part, "|")
    name[++count] = trimmed(part[1])
    kind[count] = trimmed(part[2])
    term[trimmed(part[1])] = trimmed(part[3])
    next
  }
  FILENAME == allowed_file {
    if ($0 ~ /^#/ || $0 == "") next
    split($0, part, "|")
    allow_path[++allowances] = trimmed(part[1])
    allow_text[allowances] = trimmed(part[2])
    next
  }
  FNR == 1 {
    exempt = 0
    for (a = 1; a <= allowances; ++a) if (allow_text[a] == "*" && matches(FILENAME, allow_path[a])) exempt = 1
    base = FILENAME
    sub(/\.[a-z]+$/, "", base)
    if (!exempt)
      for (n = 1; n <= count; ++n)
        if (kind[n] != "whole" && holds(subwords(base), name[n])) tell(FILENAME ":0", name[n])
  }
  exempt { next }
  {
    line = $0
    for (a = 1; a <= allowances; ++a) if (matches(FILENAME, allow_path[a])) line = without(line, allow_text[a])
    where = FILENAME ":" FNR
    list = subwords(line)
    for (n = 1; n <= count; ++n) if (kind[n] == "all" && holds(list, name[n])) tell(where, name[n])
    code = line
    gsub(/"([^"\\]|\\.)*"/, " ", code)
    comment = ""
    mark = FILENAME ~ /\.(h|cpp|proto)$/ ? "//" : "#"
    at = FILENAME ~ /\.md$/ ? 1 : index(code, mark)
    if (at > 0) {
      comment = substr(code, at)
      code = substr(code, 1, at - 1)
    }
    check_identifiers(code, 0, where)
    check_identifiers(comment, 1, where)
  }
  END { exit found }'

# Names of files hold no spaces here.
# shellcheck disable=SC2086
awk -v words_file="$words" -v allowed_file="$allowed" "$checker" "$words" "$allowed" $files || {
  echo "names: withdrawn words in finished modules"
  exit 1
}
echo "names: no withdrawn word in the finished modules"
