#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0: the same without the disruption.
export PYTHONDONTWRITEBYTECODE=1
cd "$(dirname "$0")" && exec python3 run.py
