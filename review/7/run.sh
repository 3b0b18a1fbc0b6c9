#!/bin/sh
# 1: requests or calls that were taken were not answered in time plus half a second. 0: held. 2: could not run.
# TROUBLE=0: the gRPC answers are short.
cd "$(dirname "$0")/../.." || exit 2
exec java -cp target/review-2:target/sidecar.jar GrpcLarge . review/7
