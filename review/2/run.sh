#!/bin/sh
case_folder=$(cd "$(dirname "$0")" && pwd)
standin=halfway
. "$case_folder/../run-case.sh"
