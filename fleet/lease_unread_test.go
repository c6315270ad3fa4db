package fleet

import (
	"errors"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A row that is not a valid lease must not block the lease forever, as it once did if it did not
// decode or named a length that never ends. It counts as a lease of an unknown holder: the current
// holder stops, and after the lease time another process takes it with a higher fence.
func TestLeaseInvalidRow(t *testing.T) {
	const fence = 7
	for name, data := range map[string]string{
		"invalid JSON":             "\xff\x00{",
		"fields of another type":   `{"holder":7,"fence":"x"}`,
		"empty":                    ``,
		"no fields":                `{}`,
		"an unlimited length":      `{"holder":"z","fence":3,"lengthNs":9000000000000000000}`,
		"a negative length":        `{"holder":"z","fence":3,"lengthNs":-5}`,
		"the maximum fence":        `{"holder":"z","fence":9223372036854775807,"lengthNs":300000000}`,
		"the minimum fence":        `{"holder":"z","fence":-9223372036854775808,"lengthNs":300000000}`,
		"a row of another process": `{"holder":"z","fence":8,"lengthNs":300000000}`,
	} {
		t.Run(name, func(t *testing.T) {
			now := epoch
			holder, other := NewLease("pool/x", "a", testLeaseTTL, testTakeoverMargin), NewLease("pool/x", "b", testLeaseTTL, testTakeoverMargin)
			good := Row{Data: []byte(`{"holder":"a","fence":6,"beat":1,"freed":true,"lengthNs":300000000}`), Rev: fence}
			require.NoError(t, holder.HandleRead(now, good, true))
			_, ok := holder.Next(now, "t1")
			require.True(t, ok)
			holder.HandleWrite(now, fence+1, nil)
			require.True(t, holder.Holds(now))
			require.EqualValues(t, fence, holder.Fence())

			bad := Row{Data: []byte(data), Rev: fence + 2}
			for _, l := range []*Lease{holder, other} {
				if err := l.HandleRead(now, bad, true); err != nil {
					require.True(t, errors.Is(err, ErrLeaseInvalid), err)
				}
				require.False(t, l.Holds(now))
				_, ok := l.Next(now, "t2")
				require.False(t, ok, "it may still be held")
			}
			now = now.Add(testLeaseTTL + testTakeoverMargin + time.Millisecond)
			_, ok = other.Next(now, "t3")
			require.True(t, ok)
			other.HandleWrite(now, fence+3, nil)
			require.True(t, other.Holds(now))
			require.Greater(t, other.Fence(), int64(fence))
			require.Less(t, other.Fence(), int64(math.MaxInt64/2))
		})
	}
}
