#!/usr/bin/env bash
# Installs the Debian packages martenyard builds with. This is the only list of packages.
# Quick when everything is present; exits non-zero with apt's own message otherwise.
set -euo pipefail

packages=(
  cmake ninja-build g++ ccache clang-format clang-tidy pkg-config
  libabsl-dev libmicrohttpd-dev libcurl4-openssl-dev liblog4cplus-dev libcereal-dev
  libboost1.81-dev librapidcheck-dev libtomlplusplus-dev nlohmann-json3-dev libsodium-dev
  librocksdb-dev libxxhash-dev prometheus-cpp-dev libgtest-dev libgmock-dev libbenchmark-dev
)

missing=()
for package in "${packages[@]}"; do
  if ! dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed'; then
    missing+=("$package")
  fi
done

if [ "${#missing[@]}" -eq 0 ]; then
  exit 0
fi

echo "installing: ${missing[*]}"
export DEBIAN_FRONTEND=noninteractive
as_root=()
if [ "$(id -u)" -ne 0 ]; then
  as_root=(sudo)
fi
"${as_root[@]}" apt-get update -qq
"${as_root[@]}" apt-get install -y -qq --no-install-recommends "${missing[@]}"
