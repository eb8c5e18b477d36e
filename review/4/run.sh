#!/usr/bin/env bash
exec bash "$(dirname "$0")/../common/run_case.sh" "$(cd "$(dirname "$0")" && pwd)"
