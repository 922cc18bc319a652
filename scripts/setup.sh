#!/usr/bin/env bash
# Installs what the build needs from Debian's packages. Quiet and quick when
# everything is there already.
set -euo pipefail

packages=(
  g++ cmake make ninja-build pkg-config ccache clang-format clang-tidy curl jq
  libevent-dev libnghttp2-dev prometheus-cpp-dev libcxxopts-dev
  libgoogle-glog-dev libboost-dev librapidcheck-dev libjsoncpp-dev
  libmsgpack-cxx-dev libsqlite3-dev libxxhash-dev libzstd-dev libssl-dev
  libgtest-dev
  libbenchmark-dev
)

missing=()
for package in "${packages[@]}"; do
  if ! dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed'; then
    missing+=("$package")
  fi
done
if [ "${#missing[@]}" -eq 0 ]; then
  exit 0
fi
echo "installing: ${missing[*]}"
sudo=""
if [ "$(id -u)" -ne 0 ]; then
  sudo="sudo"
fi
$sudo apt-get update -qq
DEBIAN_FRONTEND=noninteractive $sudo apt-get install -y -qq "${missing[@]}" >/dev/null
