package event

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// If a request has a failure, all its events before and after it are logged; of successful
// requests only a sample is.
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
