#!/bin/sh
# Builds the stand-ins that the scripts of the cases start. They use the standard library alone, so nothing is fetched.
set -e
cd "$(dirname "$0")/standins"
# Beside the program's own output, which git ignores, so that nothing built lies under review/.
exec cargo build --release --locked --offline --target-dir ../../target/review-standins
