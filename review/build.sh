#!/bin/sh
# Builds the drivers of all cases, with the stand-ins that they run: engines, a name service and clients.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
for case in 1 2 3; do
	if [ -f "review/$case/main.go" ]; then
		go build -o "bin/review-$case" "./review/$case"
	fi
done
