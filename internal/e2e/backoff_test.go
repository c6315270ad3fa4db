package e2e

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pathhead/pathhead/event"
	"github.com/pathhead/pathhead/internal/standin"
)

// Targets that refuse a request and request a back-off receive no second request during it.
// Callers are refused immediately as not run.
func TestTargetsRequestBackoff(t *testing.T) {
	t.Parallel()
	const engines, asked = 3, 20
	s := newSystem(t, setup{engines: engines, routers: 1})
	for _, e := range s.engines {
		s.setFaults(e, standin.Faults{RefuseAll: true, RetryAfter: "30"})
	}
	c := s.client(s.routers...)
	for range asked {
		got := s.send(c, promptRequest("formosa-air", "t", "q", 2))
		require.False(t, got.OK())
		require.Equal(t, "not-run", got.Verdict)
	}
	var events []event.Event
	require.NoError(t, s.getJSON(s.routers[0].operatorAddr, "/v1/events", &events))
	refused := 0
	for _, e := range events {
		if e.Code == event.AttemptRefused {
			refused++
		}
	}
	t.Logf("%d attempts refused", refused)
	require.Positive(t, refused)
	require.LessOrEqual(t, refused, engines, "attempts at targets that requested a back-off")
}
