package route

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pathhead/pathhead/event"
)

// That a target's weights are used no more is recorded once, with how long ago newer
// ones were named.
func TestOutdatedNoted(t *testing.T) {
	var notes []event.Event
	p := newPartsBoard(t, 1, WithNotes(func(e event.Event) {
		if e.Code == event.TargetOutdated {
			notes = append(notes, e)
		}
	}))
	p.b.Name(p.now, "m", "2")
	for range 12 {
		p.now = p.now.Add(time.Second)
		if a := p.ask(p.request("a", Part{"x", 10})); a != nil {
			p.done(a)
		}
	}
	require.Len(t, notes, 1)
	require.Equal(t, "m 1: newer ones, by now 2, were named 9s ago as known here", notes[0].Detail)
	require.Equal(t, 12*time.Second, p.b.OldestInUse(p.now))
}
