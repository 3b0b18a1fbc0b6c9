#!/usr/bin/env bash
# Makes the class archive that `run` starts from: a sidecar whose upstreams and discovery are itself is given a
# few requests, so that what serving needs is loaded, and is stopped. Without an archive `run` only starts slower,
# so nothing here fails the build.
cd "$(dirname "$0")/.." || exit 1
archive=target/sidecar.jsa
rm -f "$archive"
BALANCER_CONFIG=deploy/rehearsal.json java -XX:+UseSerialGC -Xlog:disable -Xlog:all=off \
    -XX:ArchiveClassesAtExit="$archive" -jar target/rushproxy.jar serve 2>target/rehearsal.log &
sidecar=$!
for _ in $(seq 100); do
    { exec 3<>/dev/tcp/127.83.41.7/18081; } 2>/dev/null && break
    kill -0 "$sidecar" 2>/dev/null || break
    sleep 0.1
done
if { true >&3; } 2>/dev/null; then
    for i in $(seq 20); do
        printf 'POST /api/%s HTTP/1.1\r\nHost: a\r\nX-Txn: %s\r\nX-Lane: c\r\nX-Org: t\r\nX-Remaining-Ms: 300\r\nContent-Length: 2\r\n\r\nab' "$i" "$i" >&3
        IFS= read -r -t 2 _ <&3
        while IFS= read -r -t 2 line <&3 && [ "$line" != $'\r' ]; do :; done
    done
    exec 3>&-
fi
kill -TERM "$sidecar" 2>/dev/null
wait "$sidecar"
[ -f "$archive" ] || echo "no class archive for the sidecar: it will start slower" >&2
exit 0
