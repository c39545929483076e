#!/usr/bin/env bash
# Runs the case with its disruption, or without it if TROUBLE=0.
export TROUBLE="${TROUBLE:-1}"
exec bash "$(dirname "$0")/../run-case.sh" keep-alive 4
