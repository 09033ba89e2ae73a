#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/cicadagap-sessiond ] && [ -x review/build/case_late_resume ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
review/build/case_late_resume target/cicadagap-sessiond "$folder" review/3/record.txt
