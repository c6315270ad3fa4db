package ctl

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"
)

// serveNodeMetrics serves the metrics of a node that knows the given number of nodes.
func serveNodeMetrics(t *testing.T, nodes float64) netip.AddrPort {
	set := metrics.NewSet()
	for name, value := range map[string]float64{
		"pathhead_revision": 7, "pathhead_nodes": nodes, "pathhead_relays": 1, "pathhead_targets": 123,
	} {
		set.NewGauge(name, func() float64 { return value })
	}
	set.NewCounter(`pathhead_peer_bytes_total{call="Relay",domain="own",way="sent"}`).Add(1_000_000)
	set.NewCounter(`pathhead_peer_bytes_total{call="Relay",domain="other",way="sent"}`).Add(2_000_000)
	set.NewCounter(`pathhead_peer_bytes_total{call="Recent",domain="other",way="read"}`).Add(3_000_000)
	ages := set.NewHistogram(`pathhead_view_age_seconds{of="list"}`)
	for i := range 100 {
		ages.Update(0.1 + float64(i)/1000)
	}
	return serveText(t, func(w http.ResponseWriter) { set.WritePrometheus(w) })
}

func serveText(t *testing.T, write func(w http.ResponseWriter)) netip.AddrPort {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { write(w) }))
	t.Cleanup(s.Close)
	return netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
}

// TestView checks that the output has a line for each node, and states where the
// nodes differ and how many did not answer. A response that is not the metrics of
// a node affects its own line only.
func TestView(t *testing.T) {
	garbled := serveText(t, func(w http.ResponseWriter) { _, _ = w.Write([]byte("pathhead_nodes{ 3 garbled")) })
	other := serveText(t, func(w http.ResponseWriter) { _, _ = w.Write([]byte("go_threads 3\n")) })
	failing := serveText(t, func(w http.ResponseWriter) { w.WriteHeader(http.StatusInternalServerError) })
	var out bytes.Buffer
	tool := New(&out, OutputTable)
	addrs := []netip.AddrPort{serveNodeMetrics(t, 195), serveNodeMetrics(t, 194), serveNodeMetrics(t, 195), garbled, other, failing}
	require.NoError(t, tool.View(t.Context(), addrs, "/metrics"))
	text := out.String()
	for _, want := range []string{"6 asked, 3 did not answer, 3 relay", "nodes differ: 194 at 1, 195 at 2", "metric pathhead_nodes is missing: not the metrics of a pathhead-node", "500 Internal"} {
		require.Contains(t, text, want)
	}
	require.NotContains(t, text, "targets differ")
	require.Contains(t, text, "1.0")
	require.Contains(t, text, "5.0")

	// A bucket of the histogram is 14% wide, and an age is the upper bound of its bucket.
	const width = 0.14
	v := fetchView(t.Context(), addrs[0], "/metrics")
	require.Equal(t, 195, v.Nodes)
	require.InDelta(t, 150*time.Millisecond, v.List.Median, width*float64(150*time.Millisecond))
	require.InDelta(t, 200*time.Millisecond, v.List.P99, width*float64(200*time.Millisecond))
	require.Zero(t, v.Relay)
}
