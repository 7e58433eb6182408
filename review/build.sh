#!/usr/bin/env bash
# Builds the programs of the cases into review/bin, with the compiler and the
# JSON library of deploy/system.toml. They contain all stand-ins.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for source in [1-5]/case.cpp; do
  [ -f "$source" ] || continue
  g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" \
    -o "bin/case-${source%%/*}"
done
