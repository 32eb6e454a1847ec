#!/bin/sh
# Builds the cases that are scripts, with their stand-ins, into target/review/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[1-5]/main.go; do
	folder=$(dirname "$source")
	go build -ldflags=-linkmode=external -o "target/$folder" "./$folder"
done
