package fleet

import "flag"

// init fixes the seed of the fuzz tests, so that every run gives the same result, and sets enough
// checks to find each fault listed in docs/PROOFS.md. -rapid.seed and -rapid.checks on the command
// line take precedence.
func init() {
	for name, value := range map[string]string{"rapid.seed": "20261202", "rapid.checks": "500"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}
