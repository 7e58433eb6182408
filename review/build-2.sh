#!/bin/sh
# Builds the cases 6 to 10 into target/review-2. They need the compiler, the C
# library and nlohmann-json3-dev, all of the deploy file's packages.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in review/6 review/7 review/8 review/9 review/10; do
  name=$(basename "$case")
  g++ -std=c++20 -O1 -Wall -Wextra -pthread "$case/case.cpp" -o "target/review-2/case-$name"
done
