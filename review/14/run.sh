#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/wagtailwick ] && [ -x target/review-3/standin ] || exit 2
# TROUBLE=0 leaves the disruption out.
export TROUBLE="${TROUBLE:-1}"
exec target/review-3/standin silent target/wagtailwick review/14/record.txt
