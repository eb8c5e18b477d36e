#!/usr/bin/env bash
# Installs the Debian packages that the build, the tests and the demo need.
# Installed packages are skipped, so that the script needs no network once all
# are present.
set -euo pipefail

packages=(
    ccache clang-format clang-tidy cmake g++ git ninja-build
    libboost-dev libcapnp-dev libgtest-dev libgmock-dev librapidcheck-dev
    libspdlog-dev libtclap-dev libvalijson-dev libxxhash-dev
    nlohmann-json3-dev qt6-base-dev
    curl python3
)

missing=()
for package in "${packages[@]}"; do
    status=$(dpkg-query -W -f='${db:Status-Status}' "$package" 2>/dev/null || true)
    [ "$status" = installed ] || missing+=("$package")
done

if [ "${#missing[@]}" -eq 0 ]; then
    echo "install: all packages are present"
    exit 0
fi

echo "install: ${missing[*]}"
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
apt-get install -y -qq --no-install-recommends "${missing[@]}"
