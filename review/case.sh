#!/bin/sh
# case.sh CASE FOLDER TROUBLE plays a case: it exits with 1 if the rule was broken, 0 if it
# held and 2 if the case could not run. FOLDER gets record.txt. TROUBLE is true or false.
root=$(cd "$(dirname "$0")/.." && pwd) || exit 2
for program in target/ewsource target/ewdaemon target/review/harness; do
	if [ ! -x "$root/$program" ]; then
		echo "$program is missing: run the build line of deploy/system.toml and review/build.sh"
		exit 2
	fi
done
exec "$root/target/review/harness" -case "$1" -root "$root" -record "$2/record.txt" -trouble="$3"
