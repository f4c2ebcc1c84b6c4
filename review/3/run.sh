#!/bin/sh
case_folder=$(cd "$(dirname "$0")" && pwd)
standin=second
. "$case_folder/../run-case.sh"
