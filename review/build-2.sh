#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into review/bin.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/stand2 ./review/stand2
