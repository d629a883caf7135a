#!/usr/bin/env bash
# Builds what the scripts start beside the daemons: the stand-ins are plain modules, so they are only checked.
set -eu
cd "$(dirname "$0")"
for module in common/*.mjs */case.mjs; do
  node --check "$module"
done
