package fpload

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// KeysConfig configures the keys of requests.
type KeysConfig struct {
	// Keys is the number of keys. 0: requests have no key.
	Keys uint64
	// Zipf is the exponent of the distribution, above 1. 0: all keys are equally likely.
	Zipf float64
	// MoveEvery is the time after which other keys become the hottest. 0: never.
	MoveEvery time.Duration
	// MoveBy is the number of ranks by which the hot set moves. 0: 230, the size of the hot set of section 2 of the
	// design.
	MoveBy uint64
}

// defaultMoveBy is the number of hottest keys that change within minutes.
const defaultMoveBy = 230

// keys draws keys.
type keys struct {
	cfg  KeysConfig
	ran  *rand.Rand
	zipf *rand.Zipf
}

// newKeys returns a source of keys.
func newKeys(cfg KeysConfig, ran *rand.Rand) *keys {
	if cfg.MoveBy == 0 {
		cfg.MoveBy = defaultMoveBy
	}
	src := &keys{
		cfg: cfg,
		ran: ran,
	}
	if cfg.Zipf > 1 && cfg.Keys > 0 {
		src.zipf = rand.NewZipf(ran, cfg.Zipf, 1, cfg.Keys-1)
	}
	return src
}

// draw returns the key of a request that arrives at a time since the start.
func (src *keys) draw(at time.Duration) string {
	if src.cfg.Keys == 0 {
		return ""
	}
	var rank uint64
	if src.zipf != nil {
		rank = src.zipf.Uint64()
	} else {
		rank = src.ran.Uint64N(src.cfg.Keys)
	}
	moved := uint64(0)
	if src.cfg.MoveEvery > 0 {
		moved = uint64(at/src.cfg.MoveEvery) * src.cfg.MoveBy
	}
	return fmt.Sprintf("key-%d", (rank+moved)%src.cfg.Keys)
}
