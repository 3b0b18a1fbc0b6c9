#!/bin/sh
# 1: a request that was taken had no answer when SIGKILL came, at the earliest time for it. 0: held. 2: could not run.
# TROUBLE=0: no restart.
cd "$(dirname "$0")/../.." || exit 2
exec java -cp target/review-2 SlowHeads . review/8
