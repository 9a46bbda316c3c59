#!/bin/sh
# The stand-ins of these cases are Python scripts (standard library only), so that nothing has to be compiled. This
# checks that they can be started.
set -e
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 8), sys.version'
for file in common.py */case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
