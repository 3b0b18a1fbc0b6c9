#!/usr/bin/env bash
# Plays the bench at full size on a site of our own: bash deploy/sites/play.sh SITE.toml [arguments of the score].
# The bench wants the names on the sockets and on the wire beside the site: they are laid there from ../given, and git ignores them.
set -eu
cd "$(dirname "$0")/../.."
kit=${GIVEN:-../given}/kit
if [ ! -x "$kit/more/mass/bin/lbreal" ]; then
  echo "play.sh: $kit is missing: the bench is not part of this repository" >&2
  exit 2
fi
if [ $# -eq 0 ] || [ ! -f "deploy/sites/$(basename "$1")" ]; then
  echo "play.sh: expected a site: $(cd deploy/sites && echo *.toml)" >&2
  exit 2
fi
site=deploy/sites/$(basename "$1")
shift
for name in real.json wire.json unlock.txt; do
  install -m 644 "$kit/sites/$name" "deploy/sites/$name"
done
exec "$kit/more/mass/bin/lbreal" score "$site" "$@"
