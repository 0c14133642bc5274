#!/bin/sh
NAME=order
. "$(dirname "$0")/../case.sh"
