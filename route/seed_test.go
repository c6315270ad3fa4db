package route

import "flag"

// init fixes the seed of the fuzz tests, so that every run gives the same
// verdict; -rapid.seed and -rapid.checks on the command line go before it.
func init() {
	if err := flag.Set("rapid.seed", "20261202"); err != nil {
		panic(err)
	}
}
