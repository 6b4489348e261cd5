package fpgroup

import "flag"

// Property tests use a fixed seed, so that their result is the same on every CI run. The flag -rapid.seed sets another
// one; 0 means a random seed.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
