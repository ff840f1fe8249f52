#!/bin/sh
# Installs the third-party libraries and copies the sources to target/deps.
set -eu
if [ ! -e target/deps/.installed ] || \
    [ deploy/requirements.txt -nt target/deps/.installed ]; then
  python3 -m pip install -q -U --disable-pip-version-check \
    --target target/deps -r deploy/requirements.txt
  touch target/deps/.installed
fi
for source in packages/hollycart-core/src/hollycart_core \
    packages/hollycart/src/hollycart platform/hollycart_platform; do
  copy="target/deps/$(basename "$source")"
  # An unchanged copy is kept, since running processes may import from it.
  if ! diff -rq -x __pycache__ "$source" "$copy" > /dev/null 2>&1; then
    rm -rf "$copy"
    cp -R "$source" target/deps/
  fi
done
# Instances start from a tree that they cannot write to. Without bytecode, each
# start would compile the sources.
python3 -m compileall -q --invalidation-mode unchecked-hash \
  target/deps/hollycart_core target/deps/hollycart target/deps/hollycart_platform
