package route

import "time"

// SilentUpdate says that a target's machine gave some routers no sign of life lately.
type SilentUpdate struct {
	Target  TargetKey
	Routers int
}

// The bounds of what routers tell of silent targets: for how long, how many must
// say so, which part of all targets may be silent at once for a router to trust
// its own path to them, and how long an answer of a target stands against it.
const (
	silentTellTime   = 1500 * time.Millisecond
	minSilentRouters = 2
	maxSilentShare   = 0.4
	answerValidTime  = time.Second
)

// silentTargets returns the targets that were silent to this router lately. One to
// which many are silent at once tells of none: its own path is at fault.
func (b *Board) silentTargets(now time.Time) []SilentUpdate {
	var out []SilentUpdate
	listed := 0
	for _, t := range b.targets {
		if t.listed {
			listed++
		}
		if !t.silentAt.IsZero() && now.Sub(t.silentAt) < silentTellTime {
			out = append(out, SilentUpdate{t.key(), 1})
		}
	}
	if float64(len(out)) > max(1, maxSilentShare*float64(listed)) {
		return nil
	}
	return out[:min(len(out), maxTargetKeys)]
}

// mergeSilent takes the targets out that several peers found silent, unless they
// answered this router in the meantime: each router that found out for itself
// would pay with a request.
func (b *Board) mergeSilent(now time.Time, states map[string]PeerState) {
	if b.disabled.Has(SilentWords) {
		return
	}
	silent := make(map[TargetKey]int)
	for _, s := range states {
		for _, w := range s.Silent {
			silent[w.Target] += w.Routers
		}
	}
	for m, routers := range silent {
		t, ok := b.targetByKey(m)
		if ok && routers >= minSilentRouters && now.Sub(t.answeredAt) > answerValidTime {
			b.markFailing(now, t, "peers had no sign of life of it")
		}
	}
}
