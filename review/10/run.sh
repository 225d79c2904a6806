#!/bin/sh
# Runs the case of claim.txt: exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. With
# TROUBLE=0 it leaves the disruption out. What was seen goes to record.txt.
cd "$(dirname "$0")/../.." || exit 2
exec bin/reviewkit term review/10/record.txt
