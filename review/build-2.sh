#!/usr/bin/env bash
# The stand-ins of the cases 4 and up are plain modules, so there is nothing to compile: they are only checked.
set -eu
cd "$(dirname "$0")"
for module in common-2/*.mjs [4-8]/case.mjs; do
  node --check "$module"
done
