#!/bin/sh
case_folder=$(cd "$(dirname "$0")" && pwd)
standin=ending
. "$case_folder/../../run-case.sh"
