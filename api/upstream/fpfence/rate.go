package fpfence

import (
	"net/http"
	"strconv"
)

// SetRate makes all later answers of Handler name the requests per second that the upstream takes from all VMs together. The
// limit holds until EndRate.
func (fen *Fence) SetRate(perSecond float64) {
	fen.mutex.Lock()
	defer fen.mutex.Unlock()
	fen.rate = strconv.FormatFloat(perSecond, 'f', -1, 64)
}

// EndRate makes all later answers name no rate, so that requests are no longer limited.
func (fen *Fence) EndRate() {
	fen.mutex.Lock()
	defer fen.mutex.Unlock()
	fen.rate = ""
}

// nameState sets the headers that name the rate, if there is one, and that the upstream leaves, if it does.
func (fen *Fence) nameState(hea http.Header) {
	fen.mutex.Lock()
	defer fen.mutex.Unlock()
	if fen.rate != "" {
		hea.Set("Foxtailpulley-Rate", fen.rate)
	}
	if fen.draining {
		hea.Set("Foxtailpulley-Leaving", "1")
	}
}
