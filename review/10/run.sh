#!/bin/sh
# A configuration raises the size of the headers that clients may send. TROUBLE=0: it has that size from the start.
cd "$(dirname "$0")" && exec ../standins-2/bin/headerlimit ../../target/foxtailpulley
