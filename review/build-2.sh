#!/bin/bash
# Builds the stand-ins that the scripts of the second review start: none, as its only case is a day for the bench.
exit 0
