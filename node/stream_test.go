package node

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestCompleteEvents(t *testing.T) {
	cases := map[string]struct {
		data string
		want int
	}{
		"nothing":                       {"", 0},
		"the first byte of an event":    {"i", 0},
		"an event without its end":      {"id: 1\ndata: x\n", 0},
		"one event":                     {"id: 1\ndata: x\n\n", 15},
		"one event and part of another": {"id: 1\ndata: x\n\nid: 2\nda", 15},
		"two events":                    {"id: 1\n\nid: 2\n\n", 14},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) { require.Equal(t, c.want, completeEvents([]byte(c.data))) })
	}
}
