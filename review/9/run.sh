#!/bin/sh
# A request that crashes its workers comes again and again, while the leader of the control VMs is killed five times. TROUBLE=0: no kills.
cd "$(dirname "$0")" && exec ../standins-2/bin/crashing ../../target/foxtailpulley
