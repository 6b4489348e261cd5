package fpnode

import "expvar"

// memstats returns the memory statistics that expvar publishes.
func memstats() string {
	if one := expvar.Get("memstats"); one != nil {
		return one.String()
	}
	return "{}"
}
