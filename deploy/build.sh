#!/bin/sh
# Installs the pinned dependencies and copies clayfield's packages into
# target/deps.
set -eu
if [ ! target/deps/.installed -nt deploy/requirements.txt ]; then
  rm -rf target/deps
  python3 -m pip install -q --disable-pip-version-check --target target/deps \
    -r deploy/requirements.txt
  touch target/deps/.installed
fi
rm -rf target/deps/clayfield
for source in packages/*/src/clayfield; do
  mkdir -p target/deps/clayfield
  cp -r "$source/." target/deps/clayfield/
done
python3 -m compileall -q target/deps >/dev/null || true
