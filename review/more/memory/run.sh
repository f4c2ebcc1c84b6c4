#!/bin/sh
case_folder=$(cd "$(dirname "$0")" && pwd)
standin=memory
. "$case_folder/../../run-case.sh"
