#!/usr/bin/env bash
# Builds the stand-ins of the cases. The deploy file's build comes before it.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/ ./review/cmd/...
