#!/bin/sh
# 1: a request was served with the answer made for another one. 0: held. 2: could not run. TROUBLE=0: no second answers.
cd "$(dirname "$0")/../.." || exit 2
exec java -cp target/review-2 StaleAnswer . review/6
