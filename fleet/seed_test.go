package fleet

import "flag"

// init fixes the seed of the fuzz tests, so that every run gives the same
// verdict, and makes them long enough that each fault of docs/PROOFS.md is
// found; -rapid.seed and -rapid.checks on the command line go before it.
func init() {
	for name, value := range map[string]string{"rapid.seed": "20261202", "rapid.checks": "500"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}
