#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. Needs only the JDK and target/sidecar.jar, whose HTTP/2 codec the gRPC
# stand-ins use; run after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -cp target/sidecar.jar -d target/review-2 review/standins-2/*.java
