#!/bin/sh
# Builds the stand-ins that the scripts in this folder start.
set -eu
cd "$(dirname "$0")/.."
CGO_ENABLED=1 go test -c -o review/bin/standin ./review/standin
