#!/bin/sh
# Builds the clients, engines and name service that the cases 6 to 10 start, into bin/. The deploy file's build comes
# first.
cd "$(dirname "$0")/.." || exit 2
exec go build -o bin/ ./review/reviewkit
