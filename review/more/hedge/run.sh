#!/bin/sh
case_folder=$(cd "$(dirname "$0")" && pwd)
standin=hedge
. "$case_folder/../../run-case.sh"
