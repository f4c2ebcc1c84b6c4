#!/bin/sh
case_folder=$(cd "$(dirname "$0")" && pwd)
standin=away
. "$case_folder/../../run-case.sh"
