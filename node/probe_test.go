package node

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pathhead/pathhead/route"
)

// TestProbeSet checks that many requests whose connections to one target hang at once open a single
// new connection to it, and one to each other target.
func TestProbeSet(t *testing.T) {
	var r probeSet
	a, b := netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:1")
	require.True(t, r.begin(a))
	require.False(t, r.begin(a))
	require.True(t, r.begin(b))
	r.end(a)
	require.True(t, r.begin(a))
}

// A refused probe of a target that was given up earlier is counted and nothing else: it is neither
// announced to other nodes again nor evidence that a request crashed the target.
func TestReprobeResults(t *testing.T) {
	target := netip.MustParseAddrPort("10.0.0.9:1")
	for name, c := range map[string]struct {
		dial   func(ctx context.Context) (net.Conn, error)
		result probeResult
	}{
		"accepted": {func(context.Context) (net.Conn, error) { c, _ := net.Pipe(); return c, nil }, probeAccepted},
		"refused": {func(context.Context) (net.Conn, error) {
			return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
		}, probeRefused},
		"no response": {func(ctx context.Context) (net.Conn, error) { <-ctx.Done(); return nil, ctx.Err() }, probeSilent},
		"no route":    {func(context.Context) (net.Conn, error) { return nil, errors.New("no route to host") }, probeFailed},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n, err := New(validSettings(), nil, nil, nil, WithTargetDial(func(ctx context.Context, _ netip.AddrPort) (net.Conn, error) { return c.dial(ctx) }))
				require.NoError(t, err)
				defer n.conns.Close()
				n.Do(func(b *route.Board, now time.Time) []route.Action {
					return b.SetTargets(now, []route.ListedTarget{{Addr: target, Incarnation: "i"}})
				})
				n.reprobe(t.Context(), target)
				var out strings.Builder
				n.metrics.WritePrometheus(&out)
				require.Contains(t, out.String(), `pathhead_target_probes_total{result="`+string(c.result)+`"} 1`)
				require.Empty(t, n.notices)
				require.True(t, n.probes.begin(target), "the probe has ended")
			})
		})
	}
}
