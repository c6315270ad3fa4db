package ctl

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"github.com/zeebo/errs/v2"
)

// NodeView is a node's view of the fleet, read from its metrics.
type NodeView struct {
	Addr netip.AddrPort `json:"addr"`
	// Error is the reason why the node's metrics could not be read, if any.
	Error    string `json:"fault,omitempty"`
	Revision int    `json:"revision"`
	Nodes    int    `json:"nodes"`
	// Relays is whether the node is a relay.
	Relays  bool `json:"relays"`
	Targets int  `json:"targets"`
	// List, Relay and Confirmed are the ages of the list of targets, of the last
	// message from a relay and of the configuration's confirmation, each measured
	// at the arrival of requests.
	List      Age `json:"list"`
	Relay     Age `json:"relay"`
	Confirmed Age `json:"confirmed"`
	// WithoutRelay is the number of requests that arrived before any message from a relay.
	WithoutRelay int `json:"alone"`
	// OwnBytes is the traffic, in both directions, with nodes in the node's own failure domain.
	OwnBytes int64 `json:"ownBytes"`
	// OtherBytes is the traffic, in both directions, with nodes in other failure domains.
	OtherBytes int64 `json:"otherBytes"`
}

// Age is the median and the 99th percentile of an age. Both are zero if there
// was no measurement.
type Age struct {
	Median time.Duration `json:"medianNs"`
	P99    time.Duration `json:"p99Ns"`
}

// View prints one line for each node, whose metrics are served at the given
// address and path, with its view of the fleet, and then where the views differ.
func (t *Tool) View(ctx context.Context, addrs []netip.AddrPort, path string) error {
	views := make([]NodeView, len(addrs))
	var wg sync.WaitGroup
	for i, addr := range addrs {
		wg.Go(func() { views[i] = fetchView(ctx, addr, path) })
	}
	wg.Wait()
	slices.SortFunc(views, func(a, b NodeView) int { return a.Addr.Compare(b.Addr) })
	if t.output == OutputJSON {
		t.printJSON(views)
		return nil
	}
	if err := t.printTable("NODE\tREVISION\tNODES\tRELAYS\tTARGETS\tLIST\tRELAY\tCONFIRMED\tALONE\tOWN MB\tOTHER MB", func(row func(string, ...any)) {
		for _, v := range views {
			if v.Error != "" {
				row("%s\t%s", v.Addr, v.Error)
				continue
			}
			row("%s\t%d\t%d\t%t\t%d\t%s\t%s\t%s\t%d\t%.1f\t%.1f", v.Addr, v.Revision, v.Nodes, v.Relays, v.Targets,
				v.List, v.Relay, v.Confirmed, v.WithoutRelay, float64(v.OwnBytes)/1e6, float64(v.OtherBytes)/1e6)
		}
	}); err != nil {
		return err
	}
	for _, line := range disagreements(views) {
		fmt.Fprintln(t.out, line)
	}
	return nil
}

// String returns the age as printed in a table: median/p99, or "-" if there is none.
func (a Age) String() string {
	if a.P99 == 0 {
		return "-"
	}
	return fmt.Sprintf("%s/%s", a.Median.Round(time.Millisecond), a.P99.Round(time.Millisecond))
}

// disagreements returns a line on how many nodes answered, and one for each value
// on which the nodes that answered differ.
func disagreements(views []NodeView) []string {
	var out []string
	unanswered := 0
	counts := map[string]map[int]int{"revision": {}, "nodes": {}, "targets": {}}
	relays := 0
	for _, v := range views {
		if v.Error != "" {
			unanswered++
			continue
		}
		counts["revision"][v.Revision]++
		counts["nodes"][v.Nodes]++
		counts["targets"][v.Targets]++
		if v.Relays {
			relays++
		}
	}
	out = append(out, fmt.Sprintf("%d asked, %d did not answer, %d relay", len(views), unanswered, relays))
	for _, what := range []string{"revision", "nodes", "targets"} {
		if len(counts[what]) < 2 {
			continue
		}
		var parts []string
		for value, n := range counts[what] {
			parts = append(parts, fmt.Sprintf("%d at %d", value, n))
		}
		slices.Sort(parts)
		out = append(out, fmt.Sprintf("%s differ: %s", what, strings.Join(parts, ", ")))
	}
	return out
}

// maxMetricsBytes is the maximum size of one node's metrics; a busy node has about 40 KB.
const maxMetricsBytes = 4 << 20

func fetchView(ctx context.Context, addr netip.AddrPort, path string) NodeView {
	v := NodeView{Addr: addr}
	text, err := getText(ctx, "http://"+addr.String()+path)
	if err == nil {
		err = v.parse(text)
	}
	if err != nil {
		v.Error = err.Error()
	}
	return v
}

func getText(ctx context.Context, url string) (io.Reader, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, errs.Wrap(err)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, errs.Wrap(err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return nil, errs.Errorf("%s", res.Status)
	}
	data, err := io.ReadAll(io.LimitReader(res.Body, maxMetricsBytes))
	if err != nil {
		return nil, errs.Wrap(err)
	}
	return strings.NewReader(string(data)), nil
}

// parse sets the view from a node's metrics in the Prometheus text format.
func (v *NodeView) parse(text io.Reader) error {
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(text)
	if err != nil {
		return errs.Errorf("parse metrics: %w", err)
	}
	if families["pathhead_nodes"] == nil {
		return errs.Errorf("metric pathhead_nodes is missing: not the metrics of a pathhead-node")
	}
	v.Revision = int(sum(families["pathhead_revision"], nil))
	v.Nodes = int(sum(families["pathhead_nodes"], nil))
	v.Relays = sum(families["pathhead_relays"], nil) > 0
	v.Targets = int(sum(families["pathhead_targets"], nil))
	v.WithoutRelay = int(sum(families["pathhead_requests_without_relay_total"], nil))
	peerBytes := families["pathhead_peer_bytes_total"]
	v.OwnBytes = int64(sum(peerBytes, map[string]string{"domain": "own"}))
	v.OtherBytes = int64(sum(peerBytes, map[string]string{"domain": "other"}))
	ages := families["pathhead_view_age_seconds_bucket"]
	v.List, v.Relay, v.Confirmed = parseAge(ages, "list"), parseAge(ages, "relay"), parseAge(ages, "configuration")
	return nil
}

// sum returns the sum of a family's metrics that have all the given labels.
func sum(f *dto.MetricFamily, labels map[string]string) float64 {
	total := 0.0
	for _, m := range f.GetMetric() {
		if hasLabels(m, labels) {
			total += m.GetUntyped().GetValue() + m.GetGauge().GetValue() + m.GetCounter().GetValue()
		}
	}
	return total
}

func hasLabels(m *dto.Metric, labels map[string]string) bool {
	for name, value := range labels {
		if labelOf(m, name) != value {
			return false
		}
	}
	return true
}

func labelOf(m *dto.Metric, name string) string {
	for _, l := range m.GetLabel() {
		if l.GetName() == name {
			return l.GetValue()
		}
	}
	return ""
}

// ageBucket is one bucket of a histogram: its upper bound and its count.
type ageBucket struct{ upper, count float64 }

// parseAge computes the percentiles of one age from a histogram's buckets, each
// as the upper bound of its bucket. The buckets have the "vmrange" label of
// VictoriaMetrics/metrics and are about 18 to a power of ten.
func parseAge(f *dto.MetricFamily, of string) Age {
	var buckets []ageBucket
	total := 0.0
	for _, m := range f.GetMetric() {
		if labelOf(m, "of") != of {
			continue
		}
		_, end, _ := strings.Cut(labelOf(m, "vmrange"), "...")
		upper, err := strconv.ParseFloat(end, 64)
		if err != nil {
			continue
		}
		buckets = append(buckets, ageBucket{upper, m.GetUntyped().GetValue()})
		total += m.GetUntyped().GetValue()
	}
	slices.SortFunc(buckets, func(a, b ageBucket) int { return cmp.Compare(a.upper, b.upper) })
	quantile := func(q float64) time.Duration {
		seen := 0.0
		for _, b := range buckets {
			if seen += b.count; seen >= q*total {
				return time.Duration(math.Min(b.upper, math.MaxInt32) * float64(time.Second))
			}
		}
		return 0
	}
	return Age{Median: quantile(0.5), P99: quantile(0.99)}
}
