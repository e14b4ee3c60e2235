#!/bin/sh
# Plays the case of this folder and writes record.txt beside it. TROUBLE=0 leaves out the disruption.
# Run it after the build of the deploy file and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/basilcross-gateway ] || [ ! -x target/review-harness ]; then
	exit 2
fi
exec target/review-harness lost review/3
