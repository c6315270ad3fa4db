package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a revision that cannot be read and is confirmed over by each later answer of the table, or by
// peers that cannot read it either, so that no bound on the use of the previous one ends.
func TestAdoptionUnreadable(t *testing.T) {
	t.Parallel()
	const validity, grace = 5 * time.Second, 2 * time.Second
	now := time.Unix(1000, 0)
	a := NewAdoption(validity, false, WithGrace(grace))
	a.Strict()
	a.Confirm(now, 7)
	a.Adopted(7)
	require.True(t, a.Serving(now))
	a.Unreadable(9)
	require.True(t, a.Behind())
	for elapsed := time.Duration(0); elapsed <= 2*validity; elapsed += 100 * time.Millisecond {
		at := now.Add(elapsed)
		a.Confirm(at, 7)
		a.ObservePeer(at, ConfigStatus{Revision: 7})
		require.Equal(t, elapsed > grace, a.Outdated(at), "after %s", elapsed)
		require.Equal(t, elapsed <= grace, a.Serving(at), "after %s", elapsed)
		require.True(t, a.Status(at).Unreadable)
	}
	later := now.Add(2 * validity)
	a.Adopted(7)
	require.False(t, a.Serving(later), "the previous revision from a peer changes nothing")
	a.Readable()
	a.Adopted(10)
	a.Confirm(later, 10)
	require.True(t, a.Serving(later))
	require.False(t, a.Behind())
}

// Guards against a process that stays behind once a readable revision replaced the unreadable one.
func TestAdoptionReadableAgain(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		next   func(a *Adoption)
		behind bool
	}{
		"a newer one from a peer":            {func(a *Adoption) { a.Adopted(10) }, false},
		"the same one, readable":             {func(a *Adoption) { a.Adopted(9); a.Readable() }, false},
		"the table has the previous one":     {(*Adoption).Readable, false},
		"the previous one from a peer":       {func(a *Adoption) { a.Adopted(7) }, true},
		"a peer knows of a still newer one":  {func(a *Adoption) { a.Readable(); a.ObservePeer(time.Unix(1, 0), ConfigStatus{Revision: 8}) }, true},
		"another unreadable one, not as new": {func(a *Adoption) { a.Unreadable(3) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			a := NewAdoption(time.Second, false, WithGrace(time.Second))
			a.Adopted(7)
			a.Unreadable(9)
			c.next(a)
			require.Equal(t, c.behind, a.Behind())
		})
	}
}
