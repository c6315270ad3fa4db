package route

import "time"

// UnresponsiveUpdate reports that a target's machine recently did not respond to a number of
// routers.
type UnresponsiveUpdate struct {
	Target  TargetKey
	Routers int
}

// unresponsiveReportTime is how long an unresponsive target is reported to peers, and
// minUnresponsiveRouters how many routers must report it. A router trusts its own path to the
// targets only while at most maxUnresponsiveShare of them are unresponsive at once. An answer from
// a target overrides the reports of peers for answerValidTime.
const (
	unresponsiveReportTime = 1500 * time.Millisecond
	minUnresponsiveRouters = 2
	maxUnresponsiveShare   = 0.4
	answerValidTime        = time.Second
)

// unresponsiveTargets returns the targets that recently did not respond to this router. If many are
// unresponsive at once, the fault is in this router's own path, and it reports none.
func (b *Board) unresponsiveTargets(now time.Time) []UnresponsiveUpdate {
	var out []UnresponsiveUpdate
	listed := 0
	for _, t := range b.targets {
		if t.listed {
			listed++
		}
		if !t.unresponsiveAt.IsZero() && !b.cutOffFrom(now, t) && now.Sub(t.unresponsiveAt) < unresponsiveReportTime {
			out = append(out, UnresponsiveUpdate{t.key(), 1})
		}
	}
	if float64(len(out)) > max(1, maxUnresponsiveShare*float64(listed)) {
		return nil
	}
	return out[:min(len(out), MaxTargetKeys)]
}

// mergeUnresponsive marks targets as failing that several peers found unresponsive, unless they
// answered this router in the meantime. Otherwise each router would lose a request to find out for
// itself.
func (b *Board) mergeUnresponsive(now time.Time, states map[string]PeerState) {
	if b.disabled.Has(SilentWords) {
		return
	}
	routerCounts := make(map[TargetKey]int)
	for _, s := range states {
		for _, w := range s.Silent {
			routerCounts[w.Target] += w.Routers
		}
	}
	for m, routers := range routerCounts {
		t, ok := b.targetByKey(m)
		if ok && routers >= minUnresponsiveRouters && now.Sub(t.answeredAt) > answerValidTime {
			b.markFailing(now, t, "it did not respond to several peers")
		}
	}
}
