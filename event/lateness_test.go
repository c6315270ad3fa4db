package event

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestLateness(t *testing.T) {
	l := Lateness{First: 1200 * time.Millisecond, Aim: 600 * time.Millisecond, Sent: 70 * time.Millisecond, Finished: 2 * time.Second}
	require.Equal(t, "first part after 1.2s, the aim is 600ms; sent after 70ms, whole after 2s", l.String())
	got, err := ParseLateness(l.String())
	require.NoError(t, err)
	require.Equal(t, l, got)
	for _, bad := range []string{"", "late", "first part after x, the aim is 1s; sent after 1s, whole after 1s", "first part after 1s, the aim is"} {
		_, err := ParseLateness(bad)
		require.Error(t, err, bad)
	}
}
