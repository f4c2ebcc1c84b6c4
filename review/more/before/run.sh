#!/bin/sh
case_folder=$(cd "$(dirname "$0")" && pwd)
standin=before
. "$case_folder/../../run-case.sh"
