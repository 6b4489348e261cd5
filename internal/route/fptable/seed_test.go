package fptable_test

import "flag"

// The seed of property tests is fixed so that CI gets the same result on every run. The flag -rapid.seed selects
// another seed; 0 selects a random one.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
