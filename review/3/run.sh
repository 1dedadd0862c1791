#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out. The stand-ins lie in review/common.
cd "$(dirname "$0")" || exit 2
export TROUBLE="${TROUBLE:-1}"
if ! PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=.. python3 -c "from common import standins"; then
    echo "could not run: the stand-ins in review/common can't be loaded"
    exit 2
fi
exec python3 case.py
