package fpnode

import "expvar"

// memstats returns the memory statistics that expvar publishes, as JSON.
func memstats() string {
	if value := expvar.Get("memstats"); value != nil {
		return value.String()
	}
	return "{}"
}
