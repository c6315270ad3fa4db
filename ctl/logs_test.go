package ctl

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pathhead/pathhead/event"
)

// TestReadLogs checks that events are read from log lines with and without a
// prefix, and that lines without an event are skipped.
func TestReadLogs(t *testing.T) {
	log := `  3.9289 vm-1 {"level":"INFO","msg":"request-late","process":"vm-1","event":219,"at":"1769595839928554540.0","request":"r1","detail":"late"}
{"level":"INFO","msg":"request-placed","process":"vm-0","event":203,"at":"1769595839828554540.0","request":"r1","target":"10.0.0.1:80"}
{"level":"ERROR","msg":"something else"}
no event at all
{"event":
`
	events, err := ReadLogs(strings.NewReader(log))
	require.NoError(t, err)
	require.Len(t, events, 2)
	merged := event.Merge(events)
	require.Equal(t, "request-placed", merged[0].Name)
	require.Equal(t, event.RequestLate, merged[1].Code)
	require.Equal(t, "r1", merged[1].Request)
}
