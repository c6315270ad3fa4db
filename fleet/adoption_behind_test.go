package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A process that knows of a newer revision but has not fetched it must not count confirmations of
// the newer revision for its own. It once did and reported them to its peers, so that a third
// process that received only its reports kept serving under the old revision. This showed as a
// confirmation 1.3 s old on nodes that had been behind for 35 s.
func TestAdoptionConfirmedWhileBehind(t *testing.T) {
	const behindFor = testValidity + time.Second
	cases := map[string]func(b *Adoption, now time.Time){
		"the table returned a newer revision": func(b *Adoption, now time.Time) { b.Confirm(now, 2) },
		"a peer reported a newer revision": func(b *Adoption, now time.Time) {
			b.ObservePeer(now, ConfigStatus{Revision: 2, ConfirmedAge: 0})
		},
	}
	for name, learn := range cases {
		t.Run(name, func(t *testing.T) {
			b, c := NewAdoption(testValidity, false), NewAdoption(testValidity, false)
			for _, a := range []*Adoption{b, c} {
				a.Strict()
				a.Adopted(1)
				a.Confirm(epoch, 1)
			}
			now := epoch
			for ; now.Sub(epoch) <= behindFor; now = now.Add(testValidity / 10) {
				learn(b, now)
				status := b.Status(now)
				require.EqualValues(t, 1, status.Revision)
				require.GreaterOrEqual(t, status.ConfirmedAge, now.Sub(epoch), "the time since its revision was last known to be the newest")
				// Confirmations of the newer revision must not reach the third process.
				c.ObservePeer(now, status)
			}
			require.False(t, c.Serving(now), "a process that learns only from one that is behind")
			b.Adopted(2)
			require.True(t, b.Serving(now), "confirmations of the newer revision count once it is adopted")
		})
	}
}
