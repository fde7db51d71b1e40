#!/bin/sh
# Builds the stand-in of the cases of REPORT-2.md: simulated hosts, platform, operator and clients, and the checks.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -tags review -o target/review-rig ./review/rig
