package route

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The aim at a target is that of the routes to its own pools.
func TestAimAt(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		aims []time.Duration
		want time.Duration
	}{
		"no route states one":  {[]time.Duration{0, 0}, 0},
		"one pool":             {[]time.Duration{time.Minute}, time.Minute},
		"two pools":            {[]time.Duration{time.Minute, time.Second}, time.Second},
		"one of two states it": {[]time.Duration{0, time.Minute}, time.Minute},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPartsBoard(t, 2)
			p.b.pools["other"] = &pool{urgentAim: time.Millisecond}
			engine := p.b.targets[testAddr(0)]
			engine.pools = nil
			for _, aim := range c.aims {
				engine.pools = append(engine.pools, &pool{urgentAim: aim})
			}
			require.Equal(t, c.want, p.b.AimAt(testAddr(0)))
		})
	}
}
