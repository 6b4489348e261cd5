package fpschema_test

import "flag"

// The seed of property tests is fixed, because CI must get the same result on every run. The flag -rapid.seed sets another seed;
// 0 selects a random one.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
