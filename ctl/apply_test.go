package ctl

import (
	"context"
	"errors"
	"io"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pathhead/pathhead/fleet"
)

// failingTable is an empty table the first reads of which fail.
type failingTable struct {
	fleet.Table
	failures int
}

func (f *failingTable) Get(context.Context, string, string) (fleet.Row, bool, error) {
	if f.failures > 0 {
		f.failures--
		return fleet.Row{}, false, errors.New("connection closed")
	}
	return fleet.Row{}, false, nil
}

// TestBaseRevisionReadRetries checks that a failed read of the table is retried,
// but not forever.
func TestBaseRevisionReadRetries(t *testing.T) {
	cases := map[string]struct {
		failures int
		fails    bool
	}{
		"no failure":        {},
		"one failure":       {failures: 1},
		"all attempts fail": {failures: 100, fails: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			tool := New(io.Discard, OutputTable, WithStores(&failingTable{failures: c.failures}, nil))
			_, _, err := tool.baseRevision(t.Context(), -1)
			require.Equal(t, c.fails, err != nil)
		})
	}
}
