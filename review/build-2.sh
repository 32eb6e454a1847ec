#!/bin/sh
# Builds the stand-ins and drivers of the cases of the second review, after the build of the
# deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in 6 7 8 9 10; do
	if [ -f "review/$case/main.go" ]; then
		go build -o "target/review/$case" "./review/$case"
	fi
done
