package fpgrant

import "flag"

// The seed of property tests is fixed, so that every run tests the same cases. The flag -rapid.seed sets another one; 0
// selects a random seed.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
