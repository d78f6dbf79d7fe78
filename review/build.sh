#!/bin/sh
# Builds the stand-ins of all cases into review/bin.
set -e
cd "$(dirname "$0")/standin"
exec go build -o ../bin/standin .
