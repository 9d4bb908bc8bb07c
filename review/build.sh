#!/bin/sh
# Builds the stand-ins that the scripts of the cases start. They use the standard library alone, so nothing is fetched.
set -e
cd "$(dirname "$0")/standins"
exec cargo build --release --locked --offline
