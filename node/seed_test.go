package node

import "flag"

// init fixes the seed of the fuzz tests, so that every run has the same result, and makes them
// long enough to find every fault that docs/PROOFS.md lists. The flags -rapid.seed and
// -rapid.checks override these values.
func init() {
	for name, value := range map[string]string{"rapid.seed": "20261202", "rapid.checks": "300"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}
