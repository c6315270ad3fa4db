package router

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/pathhead/pathhead/route"
)

// counters are the metrics updated by requests; docs/OPERATIONS.md lists them.
type counters struct {
	set           *metrics.Set
	badRequests   *metrics.Counter
	droppedChunks *metrics.Counter
	tableReads    *metrics.Counter
	exports       *metrics.Counter
	imports       *metrics.Counter
	ttft          *metrics.Histogram
}

func newCounters(set *metrics.Set) counters {
	return counters{
		set:           set,
		badRequests:   set.NewCounter("pathhead_bad_requests_total"),
		droppedChunks: set.NewCounter("pathhead_dropped_chunks_total"),
		tableReads:    set.NewCounter("pathhead_table_reads_total"),
		exports:       set.NewCounter("pathhead_kept_exports_total"),
		imports:       set.NewCounter("pathhead_kept_imports_total"),
		ttft:          set.NewHistogram("pathhead_first_token_seconds"),
	}
}

func (c counters) observeFirstToken(d time.Duration) { c.ttft.Update(d.Seconds()) }

func (c counters) countAttempt(k route.OutcomeKind) {
	c.set.GetOrCreateCounter(fmt.Sprintf("pathhead_attempts_total{outcome=%q}", k)).Inc()
}

// countRequest counts a finished request by organisation, end and verdict. The
// configuration limits the number of organisations, and so of label values.
func (c counters) countRequest(v *callerRequest, refusal *route.Refusal) {
	end, verdict := "answered", route.Ran
	if refusal != nil {
		end, verdict = refusal.Cause.String(), refusal.Verdict
	}
	c.set.GetOrCreateCounter(fmt.Sprintf(
		"pathhead_requests_total{organisation=%q,end=%q,verdict=%q}", v.org.Name, end, verdict,
	)).Inc()
}

// registerGauges registers the metrics that are computed when they are scraped.
func (r *Router) registerGauges() {
	locked := func(f func() int) func() float64 {
		return func() float64 {
			r.Lock()
			defer r.Unlock()
			return float64(f())
		}
	}
	r.metrics.NewGauge("pathhead_revision", locked(func() int { return int(r.adoption.Revision()) }))
	r.metrics.NewGauge("pathhead_requests_in_flight", locked(func() int { return r.Board().Requests() }))
	r.metrics.NewGauge("pathhead_peers_live", func() float64 { return float64(len(r.gossip.Live())) })
	r.metrics.NewGauge("pathhead_serving", locked(func() int {
		if r.applyServing() {
			return 1
		}
		return 0
	}))
	r.metrics.NewGauge("pathhead_gossip_bytes", func() float64 {
		sent, read := r.peers.Traffic()
		return float64(sent + read)
	})
}
