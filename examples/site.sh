#!/bin/sh
# Runs a site of separate processes on loopback: 3 availability zones with 5
# entries, the platform and the cloud, 6 model endpoints and 2 plain services.
# Exits with 1 if a call was broken or its outcome is unknown.
#
#   examples/site.sh bin/wagtailwick
set -eu
bin=${1:?usage: site.sh PATH-OF-WAGTAILWICK}
bundle=$(dirname "$0")/bundle.json
dir=$(mktemp -d)
pids=

# Ends what this script started, by process id, also after an error.
stop() {
  code=$?
  trap - EXIT
  for pid in $pids; do kill "$pid" 2>/dev/null || :; done
  # Entries drain for up to 25 s; nothing calls them any more.
  for pid in $pids; do wait "$pid" 2>/dev/null || :; done
  if [ "$code" -ne 0 ]; then echo "failed; logs are in $dir" >&2; else rm -rf "$dir"; fi
  exit "$code"
}
trap stop EXIT
trap 'exit 1' INT TERM

# start NAME ARGUMENT... runs a process in the background, its log in a file.
start() {
  name=$1
  shift
  "$bin" "$@" >"$dir/$name.log" 2>&1 &
  pids="$pids $!"
}

echo "== keys and settings"
"$bin" keys site --dir "$dir" a1:a a2:a b1:b b2:b c1:c >/dev/null
. "$dir/site.env"
"$bin" check "$bundle" "$dir/a1.json"

echo "== stand-ins and entries"
start store standin store --listen "$STORE"
start cloud standin cloud --listen "$CLOUD" --vms "$dir/vms.json"
for zone in a b c; do
  for num in 1 2; do
    start "gpu-$zone$num" standin engine --cloud "http://$CLOUD" --id "gpu-$zone$num" --zone $zone \
      --class gpu --service quotes --model-version v1 --slots 16 --decode-time 10ms --reclaimable
  done
done
for zone in a b; do
  start "cpu-$zone" standin plain --cloud "http://$CLOUD" --id "cpu-$zone" --zone $zone \
    --class cpu --service orders --model-version o1 --slots 16
done
for entry in a1 a2 b1 b2 c1; do
  start $entry entry --settings "$dir/$entry.json"
  eval "pid_$entry=$!"
done

echo "== bundle"
ops="--store http://$STORE --trusted $dir/operators.json"
# The client repeats failed calls for some seconds while the store starts.
"$bin" bundle submit $ops --key "$dir/marie.json" "$bundle"
"$bin" bundle sign $ops --key "$dir/jean.json" 1
"$bin" bundle status --store "http://$STORE" --wait 1 --entries 5

calls="--entry http://$CALLERS_a1 --entry http://$CALLERS_a2 --entry http://$CALLERS_b1 --entry http://$CALLERS_b2 --entry http://$CALLERS_c1 --key site-key --strict"
echo "== load of both kinds"
"$bin" load $calls --model quotes --plain orders --path /book --keyed --rate 40 --duration 5s
"$bin" bundle list $ops
"$bin" dump --admin "$ADMIN_b1" --part entry

echo "== drain of entry a2 under load"
"$bin" load $calls --model quotes --plain orders --path /book --keyed --rate 40 --duration 8s &
load=$!
pids="$load $pids"
sleep 3
kill -TERM "$pid_a2"
wait "$pid_a2"
echo "entry a2 has ended"
wait "$load"
echo "== all calls were answered or refused as not executed"
