package route

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRateOfPool checks that an engine without an observed prefill is assumed to be as fast as
// the others of its pool, and that its own observed rate takes precedence.
func TestRateOfPool(t *testing.T) {
	t.Parallel()
	f := newPartsBoard(t, 2)
	first, second := f.b.targets[testAddr(0)], f.b.targets[testAddr(1)]
	first.report.PrefillRate, second.report.PrefillRate = 0, 0
	require.EqualValues(t, defaultPrefillRate, second.rate())
	f.b.learnRate(first, 4000, 100*time.Millisecond, false)
	require.InDelta(t, 40_000, second.rate(), 1)
	f.b.learnRate(second, 4000, 200*time.Millisecond, false)
	require.InDelta(t, 20_000, second.rate(), 1)
	require.InDelta(t, 40_000, first.rate(), 1)
}
