#!/bin/sh
case_folder=$(cd "$(dirname "$0")" && pwd)
standin=restart
. "$case_folder/../../run-case.sh"
