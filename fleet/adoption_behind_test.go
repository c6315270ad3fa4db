package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A process that knows of a newer revision and has not got it counted the confirmations of
// the newer one as its own, and told others so: a third one, which hears of it alone, went on under the
// old revision for as long as it was told. Seen as a confirmation 1.3 s old on nodes
// that had been behind for 35 s.
func TestAdoptionConfirmedWhileBehind(t *testing.T) {
	const behindFor = testValidity + time.Second
	cases := map[string]func(b *Adoption, now time.Time){
		"the table told of a newer revision": func(b *Adoption, now time.Time) { b.Confirm(now, 2) },
		"a peer told of a newer revision": func(b *Adoption, now time.Time) {
			b.ObservePeer(now, ConfigStatus{Revision: 2, ConfirmedAge: 0})
		},
	}
	for name, hear := range cases {
		t.Run(name, func(t *testing.T) {
			b, c := NewAdoption(testValidity, false), NewAdoption(testValidity, false)
			for _, a := range []*Adoption{b, c} {
				a.Strict()
				a.Adopted(1)
				a.Confirm(epoch, 1)
			}
			now := epoch
			for ; now.Sub(epoch) <= behindFor; now = now.Add(testValidity / 10) {
				hear(b, now)
				word := b.Status(now)
				require.EqualValues(t, 1, word.Revision)
				require.GreaterOrEqual(t, word.ConfirmedAge, now.Sub(epoch), "how long ago nothing newer than its revision was in force")
				// What it knows of the newer one does not get through to the third.
				c.ObservePeer(now, word)
			}
			require.False(t, c.Serving(now), "a process that hears nothing but the word of one that is behind")
			b.Adopted(2)
			require.True(t, b.Serving(now), "the confirmations of the newer revision count once it is served under")
		})
	}
}
