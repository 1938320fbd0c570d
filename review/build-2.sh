#!/usr/bin/env bash
# Builds what the cases 6 to 10 start beside target/ospreyreel.cjs: nothing. Their store, workers and clients are plain modules (rig-2.mjs).
cd "$(dirname "$0")/.." || exit 1
node --check review/rig-2.mjs
