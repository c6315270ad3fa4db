package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a pool whose targets all change at the same time, and one that waits for another, since
// the targets of both were counted together for the model that they serve.
func TestRollModelOfTwoPools(t *testing.T) {
	r := NewRollingUpdate(DefaultUpdateSettings())
	var targets []UpdateTarget
	for n := range 25 {
		c := newUpdateTarget(byte(n+1), "1", n)
		c.Pool = "large"
		if n < 4 {
			c.Pool = "small"
		}
		targets = append(targets, c)
	}
	now := time.Unix(100, 0)
	held := make(map[string]int)
	for round := range 2 {
		steps := r.Next(now, map[string]string{"m": "2"}, targets, shorter)
		clear(held)
		for _, h := range steps.Holds {
			held[h.Pool]++
		}
		require.Positive(t, held["large"], fmt.Sprint("round ", round))
		require.Positive(t, held["small"], fmt.Sprint("round ", round))
		now = now.Add(DefaultUpdateSettings().FirstOrderSpread)
	}
	require.Equal(t, map[string]int{"large": 4, "small": 2}, held, "a fifth of a large pool, two of a small one")
}
