#!/usr/bin/env bash
# The stand-ins of the cases 11 to 15 are Python (standard library only): nothing is compiled. Checks
# that they can be loaded, and that the build of the deploy file has been made.
set -euo pipefail
cd "$(dirname "$0")"
test -x ../target/release/tamarackdock || { echo "run the build of the deploy file first" >&2; exit 1; }
for file in lib-3/standins.py lib-2/standins.py lib-2/trainer.py 1[1-5]/case.py; do
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
python3 -B -c 'import sys; sys.path.insert(0, "lib-3"); import standins'
# Case 15 uses the stand-ins of the second review.
python3 -B -c 'import sys; sys.path.insert(0, "lib-2"); import standins, trainer'
echo "the stand-ins are ready"
