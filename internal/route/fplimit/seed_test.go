package fplimit_test

import "flag"

// init fixes the seed of the property tests, so that they give the same result in every run. The flag -rapid.seed sets
// another seed; 0 stands for a random one.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
