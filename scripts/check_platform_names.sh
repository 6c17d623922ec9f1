#!/usr/bin/env bash
# The users' platform is known to platform/ alone: its names may stand nowhere else but in the
# deploy files, the stand-ins, their tests and the documents.
set -euo pipefail
cd "$(dirname "$0")/.."

names='Attempt-Id|Deadline-Ms|Affinity-Key|Prompt-Prefix|Server-Signature|Target-Instance|Not-Executed|Instance-Id|Token-Usage|Token-Budget|Request-Priority|Weight-Versions|Program-Id|Session-Id|Previous-Turn|kv-key|kv-range|kv-watch|kv-txn|kv-lease|trafficSplit|pathPrefix|targetLatencyMs|maxAttempts|retentionEnabled|tokensPerEvent|privateKey|expectedRevision|op/config|op/retire|status/retire|MARTENYARD_BOOT|faultTolerance|lossCounts|internalPorts'
allowed='^(platform/|deploy/|emulator/platform/|tests/platform/|tests/sites/|docs/|journal/|scripts/check_platform_names.sh|README.md|CONTRIBUTING.md)'

found="$(git grep -nIE "$names" -- . | grep -vE "$allowed" || true)"
if [ -n "$found" ]; then
  echo "names of the users' platform outside platform/:" >&2
  echo "$found" >&2
  exit 1
fi
product=$(git ls-files 'src/*.cc' 'src/*.h' | xargs cat | wc -l)
adapter=$(git ls-files 'platform/*.cc' 'platform/*.h' | xargs cat | wc -l)
if [ $((adapter * 8)) -gt "$product" ]; then
  echo "platform/ has $adapter lines, over an eighth of the product's $product" >&2
  exit 1
fi
echo "platform names: only in platform/ ($adapter lines beside $product)"
