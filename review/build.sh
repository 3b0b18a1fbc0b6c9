#!/usr/bin/env bash
# Builds the stand-ins of all cases. Needs a JDK and the build of the deploy file.
cd "$(dirname "$0")" || exit 2
mkdir -p target/classes
javac -d target/classes -cp ../target/sidecar.jar standins/*.java
