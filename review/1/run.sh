#!/bin/sh
case_folder=$(cd "$(dirname "$0")" && pwd)
standin=long
. "$case_folder/../run-case.sh"
