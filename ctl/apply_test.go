package ctl

import (
	"context"
	"errors"
	"io"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pathhead/pathhead/fleet"
)

// failingTable fails its first reads and then has no rows.
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

func TestBaseRevisionReadRetries(t *testing.T) {
	cases := map[string]struct {
		failures int
		fails    bool
	}{
		"no failure":   {},
		"one failure":  {failures: 1},
		"out for long": {failures: 100, fails: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			tool := New(io.Discard, OutputTable, WithStores(&failingTable{failures: c.failures}, nil))
			_, _, err := tool.baseRevision(t.Context(), -1)
			require.Equal(t, c.fails, err != nil)
		})
	}
}
