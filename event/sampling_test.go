package event

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Once something went wrong with a request, all that came before and all that
// follows is in the log; of requests that go well only some are.
func TestFailedRequestLoggedInFull(t *testing.T) {
	var out bytes.Buffer
	r := New("p", WithLogger(slog.New(slog.NewTextHandler(&out, nil))), WithSample(1<<30))
	note := func(request string, codes ...Code) {
		for _, c := range codes {
			r.Record(Event{Code: c, Request: request})
		}
	}
	note("good", RequestArrived, RequestPlaced, RequestAnswered)
	note("bad", RequestArrived, RequestPlaced, RequestRetried, RequestPlaced, RequestAnswered)
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	require.Len(t, lines, 5)
	for i, name := range []string{"request-arrived", "request-placed", "request-retried", "request-placed", "request-answered"} {
		require.Contains(t, lines[i], "msg="+name)
		require.Contains(t, lines[i], "request=bad")
	}
}
