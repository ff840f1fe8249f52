#!/bin/sh
# Puts libraries and sources into target/deps.
set -eu
if [ ! -e target/deps/.installed ] || \
    [ deploy/requirements.txt -nt target/deps/.installed ]; then
  python3 -m pip install -q -U --disable-pip-version-check \
    --target target/deps -r deploy/requirements.txt
  touch target/deps/.installed
fi
for source in packages/hollycart-core/src/hollycart_core \
    packages/hollycart/src/hollycart platform/hollycart_platform; do
  rm -rf "target/deps/$(basename "$source")"
  cp -R "$source" target/deps/
done
