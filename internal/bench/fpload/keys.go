package fpload

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// KeysConfig configures the distribution of the keys of requests.
type KeysConfig struct {
	// Keys is the number of keys. 0: requests have no key.
	Keys uint64
	// Zipf is the exponent of a Zipf distribution, above 1. 0: all keys are equally likely.
	Zipf float64
	// MoveEvery is the time after which other keys become the hottest. 0: never.
	MoveEvery time.Duration
	// MoveBy is the number of ranks by which the hot set moves. 0: 230, the size of the hot set in section 2 of the design.
	MoveBy uint64
}

// defaultMoveBy is the size of the hot set, which changes within minutes.
const defaultMoveBy = 230

// keySource draws random keys.
type keySource struct {
	cfg  KeysConfig
	ran  *rand.Rand
	zipf *rand.Zipf
}

// newKeySource returns a source of keys that draws from ran.
func newKeySource(cfg KeysConfig, ran *rand.Rand) *keySource {
	if cfg.MoveBy == 0 {
		cfg.MoveBy = defaultMoveBy
	}
	src := &keySource{
		cfg: cfg,
		ran: ran,
	}
	if cfg.Zipf > 1 && cfg.Keys > 0 {
		src.zipf = rand.NewZipf(ran, cfg.Zipf, 1, cfg.Keys-1)
	}
	return src
}

// draw returns the key of a request, or an empty string for a load without keys. arrival is the time since the start.
func (src *keySource) draw(arrival time.Duration) string {
	if src.cfg.Keys == 0 {
		return ""
	}
	var rank uint64
	if src.zipf != nil {
		rank = src.zipf.Uint64()
	} else {
		rank = src.ran.Uint64N(src.cfg.Keys)
	}
	offset := uint64(0)
	if src.cfg.MoveEvery > 0 {
		offset = uint64(arrival/src.cfg.MoveEvery) * src.cfg.MoveBy
	}
	return fmt.Sprintf("key-%d", (rank+offset)%src.cfg.Keys)
}
