#!/bin/sh
# Runs the score and hunt commands of the users' benchmark on each site and
# prints the scores, failed gates and violations.
# FLEETBENCH is the path of the benchmark, SITES the paths of the site files,
# DAYS the length of a hunt in days (default 40), WHY the text that is passed as
# --why (default "round").
set -eu
if [ ! -x "${FLEETBENCH:-}" ] || [ -z "${SITES:-}" ]; then
	echo "days: set FLEETBENCH to the users' bench and SITES to their site files"
	exit 2
fi
for site in $SITES; do
	echo "== $site"
	"$FLEETBENCH" score "$site" --why "${WHY:-round}" | grep -E '^score|^GATE|BROKEN|own/srv| 0\.[0-9]{2} ' || true
	"$FLEETBENCH" hunt "$site" --days "${DAYS:-40}" --why "${WHY:-round}" | grep -E 'days on|BROKEN|first that is wrong' || true
done
