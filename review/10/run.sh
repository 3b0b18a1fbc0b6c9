#!/bin/sh
# 1: a client was cut off though its upstream still gave the answer. 0: held. 2: could not run. TROUBLE=0: clients take
# the answer as fast as it comes.
cd "$(dirname "$0")/../.." || exit 2
exec java -cp target/review-2 SlowReader . review/10
