#!/usr/bin/env bash
# Derives deployments of our own from a given site file, to hunt on. Only this script is kept.
# Usage: derive.sh SITE_FILE VARIANT > NEW_SITE_FILE
#   kinds  every kind of trouble, those that the site itself doesn't list too
#   slow   slower disks and processors, longer links, a small store quota
#   small  fewer gateways, fewer runners with fewer slots, fewer connections
#   strict clients' leaving, truthful refusals, connections and shares of split routes are judged too
#   resume streams that may (or may not) be resumed where the site's may not (or may), more attempts
set -euo pipefail

site="${1:?SITE_FILE}"
variant="${2:?VARIANT}"

every_kind='
  { kind = "give_up", share = 0.3, x = 60.0 },
  { kind = "srv_crash", share = 0.2, for_s = 4.0, how = "dark" },
  { kind = "srv_crash", share = 0.1, how = "gone" },
  { kind = "srv_slow", share = 0.2, x = 6.0, for_s = 5.0 },
  { kind = "srv_grey", share = 0.2, x = 0.4, for_s = 5.0, how = "errors" },
  { kind = "srv_grey", share = 0.2, x = 0.5, for_s = 5.0, how = "hang" },
  { kind = "srv_grey", share = 0.2, x = 0.5, for_s = 5.0, how = "mute" },
  { kind = "srv_grey", share = 0.2, x = 0.5, for_s = 5.0, how = "reset" },
  { kind = "srv_grey", share = 0.2, x = 0.5, for_s = 5.0, how = "shed" },
  { kind = "srv_cut", share = 0.25, for_s = 4.0 },
  { kind = "srv_cut", share = 0.25, x = 0.4, for_s = 4.0, how = "fronts" },
  { kind = "srv_cut", share = 0.25, for_s = 4.0, how = "one_way" },
  { kind = "replace_with_reuse", share = 0.2 },
  { kind = "replace_with_reuse", share = 0.2, how = "drain" },
  { kind = "replace_with_reuse", share = 0.2, how = "dark" },
  { kind = "scale_out", share = 0.3, gap_s = 1.0 },
  { kind = "scale_in", share = 0.2, how = "spot" },
  { kind = "node_slow", share = 0.2, x = 5.0, for_s = 5.0 },
  { kind = "node_freeze", share = 0.3, for_s = 4.0 },
  { kind = "clock_step", share = 0.4, x = 3000.0, for_s = 5.0, how = "ahead" },
  { kind = "hup", share = 0.5, gap_s = 1.0 },
  { kind = "reset_conns", share = 0.3, x = 0.6 },
  { kind = "node_cut", share = 0.2, for_s = 4.0 },
  { kind = "node_cut", share = 0.2, for_s = 4.0, how = "all" },
  { kind = "core_cut", on = "store", for_s = 4.0, how = "split" },
  { kind = "core_cut", on = "store", count = 1, for_s = 4.0, how = "behind" },
  { kind = "core_cut", on = "store", count = 1, for_s = 4.0, how = "both" },
  { kind = "core_cut", on = "store", count = 1, for_s = 4.0, how = "relieve" },
  { kind = "herd_kill", on = "core", for_s = 1.0, how = "off" },
  { kind = "herd_kill", how = "taken power", for_s = 1.0 },
  { kind = "disk_stall", on = "store", count = 2, for_s = 3.0 },
  { kind = "replace_core", on = "store", x = 2.0, how = "planned" },
  { kind = "replace_core", on = "store", x = 2.0, how = "oldest" },
  { kind = "roll_term", on = "store", share = 1.0, gap_s = 3.0 },
  { kind = "garble", how = "unframed", share = 0.5, x = 0.04, for_s = 5.0 },
  { kind = "garble", how = "early", share = 0.5, x = 0.04, for_s = 5.0 },
  { kind = "config_change", how = "weights" },
  { kind = "config_change", how = "route" },'

case "$variant" in
  kinds)
    awk -v more="$every_kind" '{print} /^troubles = \[/ {print more}' "$site"
    ;;
  slow)
    sed -E 's/sync_ms = 1\.0/sync_ms = 5.0/g; s/cpu_share = 0\.25/cpu_share = 0.18/g;
            s/cpu_share = 0\.(5|43)/cpu_share = 0.3/g; s/cross_zone_ms = [0-9.]+/cross_zone_ms = 6.0/;
            s/writes_per_s = 400\.0/writes_per_s = 60.0/; s/reads_per_s = 2000\.0/reads_per_s = 250.0/' "$site"
    ;;
  small)
    sed -E '/class = "front"/ s/count = [0-9]+/count = 1/; s/slots = 1[26]/slots = 8/g;
            s/batch = 1[26]/batch = 8/; s/conn_cap = 1[0-9]+/conn_cap = 48/g; s/queue = (48|36)/queue = 12/;
            s/per_s = ([0-9.]+), clients/per_s = 4.5, clients/' "$site"
    ;;
  strict)
    sed -E 's/^\[bounds\]/[bounds]\neven = true\ncloses = true\nattends = true/;
            s/^\[timing\]/[timing]\ntruthful = true/' "$site"
    ;;
  resume)
    sed -E 's/resume = true/resume = SWAP/; s/resume = false/resume = true/; s/resume = SWAP/resume = false/;
            s/attempts = [12]/attempts = 3/' "$site"
    ;;
  *)
    echo "unknown variant: $variant" >&2
    exit 2
    ;;
esac
