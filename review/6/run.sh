#!/bin/sh
# 1: a keyed request ran in two zones though its class's group was one zone. 0: held. 2: could not run.
# TROUBLE=0: without the second configuration.
cd "$(dirname "$0")/../.." || exit 2
exec java -cp target/review-2 QuickReload . review/6
