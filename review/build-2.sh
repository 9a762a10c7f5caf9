#!/usr/bin/env bash
# Builds the stand-ins of the cases from review/6 on. They are Python programs that use the standard
# library only, so that there is nothing to compile: this checks that they can be parsed.
set -e
cd "$(dirname "$0")"
for file in lib-2/*.py [6-9]/case.py 10/case.py; do
    [ -e "$file" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
