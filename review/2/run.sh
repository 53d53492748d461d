#!/bin/bash
. "$(dirname "$0")/../run_case.sh"
