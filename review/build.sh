#!/bin/sh
# Builds the stand-ins of all scripts. The programs themselves come from the build of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o target/review-lab ./review/lab
