#!/bin/sh
# Builds what the scripts start besides the program of the deploy file. The stand-ins are Python
# programs that need no build; this only checks that they can be run.
cd "$(dirname "$0")" || exit 1
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' || exit 1
for file in standins/*.py */case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file" || exit 1
done
