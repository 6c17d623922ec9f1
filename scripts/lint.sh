#!/usr/bin/env bash
# Runs clang-tidy over the product's sources. A file whose inputs passed before is skipped: the
# record is keyed by the preprocessed text's hash, the tool's version and the configuration.
set -euo pipefail

build="${1:?usage: scripts/lint.sh BUILD_FOLDER}"
record="build/lint"
mkdir -p "$record"
export build record
salt="$(clang-tidy --version | sha256sum; sha256sum .clang-tidy)"
export salt

lint_one() {
  local file="$1" key
  key="$( (echo "$salt"; sha256sum "$file"; git ls-files -s -- '*.h' | sha256sum; git ls-files '*.h' | xargs sha256sum | sha256sum) | sha256sum | cut -d' ' -f1)"
  if [ -e "$record/$key" ]; then return 0; fi
  if clang-tidy --quiet --extra-arg=-Wno-unknown-warning-option -p "$build" "$file" 2>"$record/$key.log"; then
    rm -f "$record/$key.log"
    touch "$record/$key"
  else
    cat "$record/$key.log" >&2
    rm -f "$record/$key.log"
    return 1
  fi
}
export -f lint_one

git ls-files 'src/*.cc' 'platform/*.cc' 'apps/*.cc' 'emulator/*.cc' 'bench/*.cc' |
  xargs -P "$(nproc)" -I{} bash -c 'lint_one "$@"' _ {}
echo "lint: clean"
