#!/bin/sh
# A control VM is removed for good, and another one loses its disk once the successor of the first has caught up. TROUBLE=0: neither.
cd "$(dirname "$0")" && exec ../standins-2/bin/replaced ../../target/foxtailpulley
