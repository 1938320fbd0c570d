#!/usr/bin/env bash
# Builds the stand-ins that the scripts start.
set -eu
cd "$(dirname "$0")/.."
npx tsc -b packages/stand-ins
