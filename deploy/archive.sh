#!/usr/bin/env bash
# Makes the class archive that `run` starts from: a sidecar is started as `run` starts it, rehearses with itself and so
# loads what serving needs, and is stopped. With other options it would load other classes: Netty's allocators, say.
# Without an archive `run` only starts slower, so nothing here fails the build.
cd "$(dirname "$0")/.." || exit 1
archive=target/sidecar.jsa
rm -f "$archive"
run=$(sed -n 's/^run = "exec \(.*\)"$/\1/p' deploy/balancer.toml)
run=${run/-XX:SharedArchiveFile=$archive -Xshare:auto/-XX:ArchiveClassesAtExit=$archive}
# shellcheck disable=SC2086
notes=$(mktemp -d)
TMPDIR=$notes BALANCER_CONFIG=deploy/rehearsal.json $run 2>target/rehearsal.log &
sidecar=$!
for _ in $(seq 100); do
    grep -q ' ready after ' target/rehearsal.log && break
    kill -0 "$sidecar" 2>/dev/null || break
    sleep 0.1
done
# What operators' calls load is met by the first of them, on a busy core.
for call in "GET /control/ready" "GET /control/counters" "POST /control/upstreams/u0/offline" "POST /control/upstreams/u0/online" \
    "POST /control/out-of-service" "POST /control/in-service"; do
    { exec 3<>/dev/tcp/127.83.41.7/18083 && printf '%s HTTP/1.1\r\nHost: a\r\n\r\n' "$call" >&3 && cat <&3; exec 3>&-; } >/dev/null 2>&1
done
kill -HUP "$sidecar" 2>/dev/null
for _ in $(seq 20); do
    grep -q ' settings are \| goes on as before' target/rehearsal.log && break
    sleep 0.1
done
kill -TERM "$sidecar" 2>/dev/null
wait "$sidecar"
rm -rf "$notes"
[ -f "$archive" ] || echo "no class archive for the sidecar: it will start slower" >&2
exit 0
