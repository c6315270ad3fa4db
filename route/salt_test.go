package route

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against two names that give one salt since they contain its separator.
func TestSaltNames(t *testing.T) {
	t.Parallel()
	names := []string{"", "a", "b", "\x1f", "\x1e", "a\x1f", "\x1fb", "a\x1fb", "\x1e0", "\x1e1", "a\x1e1b"}
	seen := make(map[string]Salt)
	add := func(s Salt) {
		other, ok := seen[s.String()]
		require.False(t, ok, "%q and %q", s, other)
		seen[s.String()] = s
	}
	for _, org := range names {
		for _, a := range names {
			for _, b := range names {
				if a != "" {
					add(Salt{Org: org, Model: a, Adapter: b})
					add(Salt{Org: org, Model: a, Weights: b + "1"})
				}
				add(Salt{Org: org, Pool: a + "p", Attempt: b + "-1"})
			}
		}
	}
}

// Guards against attempts without a known model that share cached blocks with other attempts, of whatever weights.
func TestPrivateSalt(t *testing.T) {
	t.Parallel()
	seen := make(map[string]bool)
	for _, nonce := range []string{"n1", "n2"} {
		for _, attempt := range []string{"r-1", "r-2", "q-1"} {
			for _, pool := range []string{"s", "t"} {
				r := Request{Org: "o", Pool: pool, Nonce: nonce, SharesCache: true}
				seen[r.privateSalt(attempt).String()] = true
			}
		}
	}
	require.Len(t, seen, 12)
}
