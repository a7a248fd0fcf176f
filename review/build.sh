#!/bin/bash
# Builds the stand-in that the scripts start; the programs of the project come from the build of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/stand review/stand/*.go
