#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
timeout 118 java -cp "$here/../target/classes:$here/../../target/sidecar.jar" AnswersAtStop "$here/../.." "$here"
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
