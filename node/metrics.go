package node

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/pathhead/pathhead/route"
)

// counters are the metrics updated by events; docs/OPERATIONS.md lists them.
type counters struct {
	set         *metrics.Set
	badRequests *metrics.Counter
	// unknownModels counts the requests for a model that their service does not have.
	unknownModels *metrics.Counter
	opened        *metrics.Counter
	orders        *metrics.Counter
	// holdersUnanswered counts the prompts that were placed without an answer from the owner of
	// their parts.
	holdersUnanswered *metrics.Counter
	first             *metrics.Histogram
	total             *metrics.Histogram
	// listAge, relayAge and confirmedAge record the age of the routing state when requests arrive.
	listAge, relayAge, confirmedAge *metrics.Histogram
	// withoutRelay counts the requests that arrive in a large fleet while this node does not know
	// the loads of other nodes.
	withoutRelay *metrics.Counter
	// memoryRefusals counts the requests refused for want of memory, passedThrough the answers that
	// were sent on unbuffered, and stalledCallers the connections given up because the caller
	// stalled.
	memoryRefusals, passedThrough, stalledCallers *metrics.Counter
	// idleClosed counts the idle connections that were closed for want of memory.
	idleClosed *metrics.Counter
	// handedTaken counts the requests that other nodes handed over.
	handedTaken *metrics.Counter
}

func newCounters(set *metrics.Set) counters {
	return counters{
		set:         set,
		badRequests: set.NewCounter("pathhead_bad_requests_total"),

		unknownModels: set.NewCounter("pathhead_unknown_model_requests_total"),

		opened: set.NewCounter("pathhead_target_connections_total"),
		orders: set.NewCounter("pathhead_orders_total"),

		holdersUnanswered: set.NewCounter("pathhead_holders_unanswered_total"),
		first:             set.NewHistogram("pathhead_first_part_seconds"),
		total:             set.NewHistogram("pathhead_answer_seconds"),

		listAge:      set.NewHistogram(`pathhead_view_age_seconds{of="list"}`),
		relayAge:     set.NewHistogram(`pathhead_view_age_seconds{of="relay"}`),
		confirmedAge: set.NewHistogram(`pathhead_view_age_seconds{of="configuration"}`),
		withoutRelay: set.NewCounter("pathhead_requests_without_relay_total"),

		memoryRefusals: set.NewCounter("pathhead_memory_refusals_total"),
		passedThrough:  set.NewCounter("pathhead_unbuffered_answers_total"),
		stalledCallers: set.NewCounter("pathhead_stalled_callers_total"),
		idleClosed:     set.NewCounter("pathhead_idle_connections_closed_total"),
		handedTaken:    set.NewCounter("pathhead_handed_requests_total"),
	}
}

func (c counters) firstPart(d time.Duration) { c.first.Update(d.Seconds()) }

func (c counters) attempt(k route.OutcomeKind) {
	c.set.GetOrCreateCounter(fmt.Sprintf("pathhead_attempts_total{outcome=%q}", k)).Inc()
}

// handedOver counts an attempt by way of another node.
func (c counters) handedOver(k route.OutcomeKind) {
	c.set.GetOrCreateCounter(fmt.Sprintf("pathhead_handoffs_total{outcome=%q}", k)).Inc()
}

func (c counters) refused(f route.Refusal) {
	c.set.GetOrCreateCounter(fmt.Sprintf("pathhead_requests_total{end=%q,verdict=%q}", f.Cause, f.Verdict)).Inc()
}

// peerBytes counts the bytes of a message to or from another node.
func (c counters) peerBytes(call, domain string, sent, read int) {
	count := func(way string, n int) {
		if n > 0 {
			c.set.GetOrCreateCounter(fmt.Sprintf("pathhead_peer_bytes_total{call=%q,domain=%q,way=%q}", call, domain, way)).Add(n)
		}
	}
	count("sent", sent)
	count("read", read)
}

// connClosed counts a caller's connection that this node closed between two requests.
func (c counters) connClosed(reason closeReason, unread bool) {
	c.set.GetOrCreateCounter(fmt.Sprintf("pathhead_caller_connections_closed_total{reason=%q,unread=%q}", string(reason), strconv.FormatBool(unread))).Inc()
}

// connKept counts a caller's connection that was not closed, since a request had arrived on it.
func (c counters) connKept(reason closeReason) {
	c.set.GetOrCreateCounter(fmt.Sprintf("pathhead_caller_connections_kept_total{reason=%q}", string(reason))).Inc()
}

// unanswerable counts a request that was read from a connection that this node had closed.
func (c counters) unanswerable(reason closeReason) {
	c.set.GetOrCreateCounter(fmt.Sprintf("pathhead_unanswerable_requests_total{reason=%q}", string(reason))).Inc()
}

// cut counts a caller's connection that was closed without a complete answer.
func (c counters) cut(reason cutReason) {
	c.set.GetOrCreateCounter(fmt.Sprintf("pathhead_answers_cut_total{reason=%q}", string(reason))).Inc()
}

// stopCut counts a request that was cut off during a planned stop.
func (c counters) stopCut(state stopCutState, arrivedAfter bool) {
	arrived := "before"
	if arrivedAfter {
		arrived = "after"
	}
	c.set.GetOrCreateCounter(fmt.Sprintf("pathhead_stop_cut_total{state=%q,arrived=%q}", string(state), arrived)).Inc()
}

// unframed counts a stream that had neither a length nor chunks and ended with its connection.
func (c counters) unframed(insideEvent bool) {
	c.set.GetOrCreateCounter(fmt.Sprintf("pathhead_unframed_streams_total{inside_event=%q}", strconv.FormatBool(insideEvent))).Inc()
}

// resumed counts a stream that a caller resumed, by where its release is known from.
func (c counters) resumed(by releaseSource) {
	c.set.GetOrCreateCounter(fmt.Sprintf("pathhead_resumed_streams_total{release=%q}", string(by))).Inc()
}

// recordedStreams counts streams whose release was recorded in the store.
func (c counters) recordedStreams(n int) {
	c.set.GetOrCreateCounter("pathhead_recorded_streams_total").Add(n)
}

// fetched counts a fetch of the configuration from another node by result.
func (c counters) fetched(end string) {
	c.set.GetOrCreateCounter(fmt.Sprintf("pathhead_config_fetches_total{end=%q}", end)).Inc()
}

// probed counts a probe of a target by result.
func (c counters) probed(result probeResult) {
	c.set.GetOrCreateCounter(fmt.Sprintf("pathhead_target_probes_total{result=%q}", result)).Inc()
}

// invalidEntry counts an invalid list entry in one reading.
func (c counters) invalidEntry(f InvalidReason) {
	c.set.GetOrCreateCounter(fmt.Sprintf("pathhead_list_faults_total{fault=%q}", f)).Inc()
}

// finished counts a request by result.
func (c counters) finished(took time.Duration, refusal *route.Refusal) {
	if refusal != nil {
		c.refused(*refusal)
		return
	}
	c.total.Update(took.Seconds())
	c.set.GetOrCreateCounter(fmt.Sprintf("pathhead_requests_total{end=%q,verdict=%q}", "answered", route.Ran)).Inc()
}

// countTargets counts the targets whose view matches.
func (n *Node) countTargets(match func(v route.TargetView) bool) (count int) {
	n.Lock()
	defer n.Unlock()
	for _, v := range n.Board().View(n.now()) {
		if match(v) {
			count++
		}
	}
	return count
}

// gauges registers the metrics that are computed when they are read.
func (n *Node) gauges() {
	n.metrics.NewGauge("pathhead_revision", func() float64 {
		n.Lock()
		defer n.Unlock()
		return float64(n.adoption.Revision())
	})
	n.metrics.NewGauge("pathhead_revision_known", func() float64 {
		n.Lock()
		defer n.Unlock()
		return float64(n.adoption.NewestKnown())
	})
	n.metrics.NewGauge("pathhead_revision_unreadable", func() float64 {
		n.Lock()
		defer n.Unlock()
		if n.adoption.HasUnreadable() {
			return 1
		}
		return 0
	})
	n.metrics.NewGauge("pathhead_revision_invalid_entries", func() float64 {
		n.Lock()
		defer n.Unlock()
		return float64(n.unreadEntries)
	})
	n.metrics.NewGauge("pathhead_confirmation_age_seconds", func() float64 {
		return n.configStatus().age.Seconds()
	})
	n.metrics.NewGauge("pathhead_requests_in_flight", func() float64 { return float64(n.Calls()) })
	n.metrics.NewGauge("pathhead_peers_live", func() float64 { return float64(len(n.gossip.Live())) })
	n.metrics.NewGauge("pathhead_nodes", func() float64 {
		nodes, _ := n.relays.size()
		return float64(nodes)
	})
	n.metrics.NewGauge("pathhead_relays", func() float64 {
		if n.relays.isRelay() {
			return 1
		}
		return 0
	})
	n.metrics.NewGauge("pathhead_pools_cut_off", func() float64 {
		n.Lock()
		defer n.Unlock()
		return float64(n.Board().PoolsCutOff())
	})
	n.metrics.NewGauge("pathhead_callers_memory_bytes", func() float64 {
		held, _ := n.memory.usage()
		return float64(held)
	})
	n.metrics.NewGauge("pathhead_callers_memory_limit_bytes", func() float64 {
		_, limit := n.memory.usage()
		return float64(limit)
	})
	n.metrics.NewGauge("pathhead_held_requests", func() float64 {
		requests, _ := n.Held()
		return float64(requests)
	})
	n.metrics.NewGauge("pathhead_held_parts", func() float64 {
		_, parts := n.Held()
		return float64(parts)
	})
	n.metrics.NewGauge("pathhead_admission_refused_total", func() float64 { return float64(n.admissions().Refused) })
	n.metrics.NewGauge("pathhead_admission_sent_late_total", func() float64 { return float64(n.admissions().SentLate) })
	n.metrics.NewGauge("pathhead_targets", func() float64 { return float64(n.list.count()) })
	for word, match := range map[string]func(v route.TargetView) bool{
		"limit":   func(v route.TargetView) bool { return v.Limit != nil },
		"brittle": func(v route.TargetView) bool { return v.Brittle != nil },
		"leaving": func(v route.TargetView) bool { return v.Leaving },
		"rest":    func(v route.TargetView) bool { return v.Rests > 0 },
	} {
		n.metrics.NewGauge(fmt.Sprintf("pathhead_targets_saying{word=%q}", word), func() float64 { return float64(n.countTargets(match)) })
	}
	n.metrics.NewGauge("pathhead_prefill_rates_dropped", func() float64 {
		n.Lock()
		defer n.Unlock()
		return float64(n.Board().RatesDropped())
	})
	for _, q := range []float64{0, 0.5, 1} {
		n.metrics.NewGauge(fmt.Sprintf(`pathhead_prefill_rate{quantile="%g"}`, q), func() float64 {
			n.Lock()
			defer n.Unlock()
			return n.Board().PrefillRate(q)
		})
	}
	n.metrics.NewGauge("pathhead_weights_oldest_seconds", func() float64 {
		n.Lock()
		defer n.Unlock()
		return n.Board().OldestInUse(n.now()).Seconds()
	})
	n.metrics.NewGauge("pathhead_store_era", func() float64 { return float64(max(0, n.era.Load())) })
	n.metrics.NewGauge("pathhead_gossip_bytes", func() float64 {
		sent, read := n.peers.Traffic()
		return float64(sent + read)
	})
}

// admissions returns the decisions of admission since the start.
func (n *Node) admissions() route.AdmissionStats {
	n.Lock()
	defer n.Unlock()
	return n.Board().Admissions()
}

// operatorsHandler serves the metrics and the held requests.
func (n *Node) operatorsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+n.metricsPath, func(w http.ResponseWriter, _ *http.Request) {
		n.updatePoolMetrics()
		n.metrics.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	n.HandleHeld(mux)
	return mux
}
