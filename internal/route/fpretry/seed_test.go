package fpretry_test

import "flag"

// The seed of property tests is fixed, so that CI gives the same result on every run. The flag -rapid.seed sets another one; 0
// means a random one.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
