package route

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pathhead/pathhead/event"
	"github.com/pathhead/pathhead/policy"
)

// ReleasePin restricts a request to the targets of one release. The zero value restricts nothing.
type ReleasePin struct {
	Set     bool
	Release string
}

// PinTo returns the pin to a release.
func PinTo(release string) ReleasePin { return ReleasePin{Set: true, Release: release} }

// allows reports whether a request with the pin may go to a target.
func (p ReleasePin) allows(t *target) bool { return !p.Set || t.release == p.Release }

// Times of splits.
const (
	// SplitLead is the time between the writing of a split and its effect, within which the routers
	// in contact learn of it.
	SplitLead = 2 * time.Second
	// splitSpreadTime is the time in which a split that one router knows reaches the others in contact. One
	// that is not reads the row so often, or knows by then that it is late.
	splitSpreadTime = SplitLead
	// splitSkew is how far two routers may differ about the beginning of a split: one that learns of it by
	// gossip takes it for later by the time of the transfer, in which another may begin streams under it.
	splitSkew = SplitLead
	// LateSplitTime is how long a router that learns nothing may begin streams under its last split.
	LateSplitTime = 15 * time.Second
)

// releaseState is what a router knows of the releases of a pool's targets.
type releaseState struct {
	history ReleaseHistory
	// sole is the only release that the list has shown so far, if known is set. Without a history all
	// streams begin there.
	sole  string
	known bool
	// listed is the number of slots for requests at the listed targets that are not draining, by
	// release, and serving that of all listed ones.
	listed, serving map[string]float64
}

// observeReleases records the releases of the listed targets.
func (b *Board) observeReleases() {
	for _, p := range b.pools {
		s := &p.streams
		s.listed, s.serving = make(map[string]float64), make(map[string]float64)
		if counts := b.reserve.Releases(p.compiled.Name); counts != nil {
			for release, n := range counts {
				s.listed[release], s.serving[release] = float64(n), float64(n)
			}
		} else {
			for _, t := range p.members {
				if !t.listed {
					continue
				}
				s.serving[t.release] += float64(t.slots())
				if !t.draining && !t.listedDraining {
					s.listed[t.release] += float64(t.slots())
				}
			}
		}
		if len(s.history.Splits) == 0 && !s.known && len(s.serving) == 1 {
			for release := range s.serving {
				s.sole, s.known = release, true
			}
		}
	}
}

// several reports whether streams of the pool may have begun at more than one release lately, or are
// about to.
func (s *releaseState) several() bool {
	switch {
	case len(s.serving) > 1 || len(s.history.Splits) > 1:
		return true
	case len(s.history.Splits) == 1:
		counts := s.history.Splits[0].counts()
		for release := range s.serving {
			if counts[release] != ReleaseSlots {
				return true
			}
		}
		return len(counts) != 1
	}
	return s.known && len(s.serving) == 1 && s.serving[s.sole] == 0
}

// SeveralReleases returns the pools whose targets are, or lately were, of more than one release.
func (b *Board) SeveralReleases() []string {
	var out []string
	for name, p := range b.pools {
		if p.streams.several() {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// HasSeveralReleases reports whether the pool is one of [Board.SeveralReleases].
func (b *Board) HasSeveralReleases(pool string) bool {
	p, ok := b.pools[pool]
	return ok && p.streams.several()
}

// ListedReleases returns the slots of a pool's listed targets that are not draining, by release, for operators.
func (b *Board) ListedReleases(pool string) string {
	p, ok := b.pools[pool]
	if !ok {
		return "no pool"
	}
	var out []string
	for _, release := range slices.Sorted(maps.Keys(p.streams.listed)) {
		out = append(out, fmt.Sprintf("%s %.0f", release, p.streams.listed[release]))
	}
	return strings.Join(out, ", ")
}

// HasPool reports whether the configuration has a pool.
func (b *Board) HasPool(pool string) bool {
	_, ok := b.pools[pool]
	return ok
}

// NewStreamRelease returns the release at which a stream with the given request id begins; ok is false if
// it is not known yet.
func (b *Board) NewStreamRelease(now time.Time, pool, id string) (release string, ok bool) {
	p, ok := b.pools[pool]
	if !ok {
		return "", false
	}
	if split := p.streams.history.beginning(now); split != nil {
		return split.Release(ReleaseSlot(id))
	}
	return p.streams.sole, p.streams.known
}

// StreamReleases returns the releases at which the stream with the given request id may have begun
// within its life. Known is false if it may have begun at another one too.
func (b *Board) StreamReleases(now time.Time, pool, id string, life time.Duration) (releases []string, known bool) {
	p, ok := b.pools[pool]
	if !ok {
		return nil, false
	}
	s := &p.streams
	if len(s.history.Splits) > 0 {
		return s.history.Between(ReleaseSlot(id), now.Add(-life-LateSplitTime), now.Add(splitSkew))
	}
	if !s.known {
		return nil, false
	}
	return []string{s.sole}, true
}

// ReleaseHistory returns what is known of a pool's splits.
func (b *Board) ReleaseHistory(pool string) ReleaseHistory {
	if p, ok := b.pools[pool]; ok {
		return p.streams.history
	}
	return ReleaseHistory{}
}

// AdoptReleases takes over a pool's splits if they are newer. It reports whether they are. Streams do not
// begin under a new split before the other routers had the time to learn of it, also if this router is the
// first to learn of it, long after it was written. The split before is remembered for longer than that.
func (b *Board) AdoptReleases(now time.Time, pool string, h ReleaseHistory) bool {
	if len(h.Splits) == 0 {
		return false
	}
	if now.Sub(h.newest().From) < LateSplitTime-splitSpreadTime {
		h.begin = now.Add(splitSpreadTime)
	}
	p, ok := b.pools[pool]
	if !ok {
		b.keepUnconfigured(pool, h)
		return false
	}
	if h.Number <= p.streams.history.Number {
		return false
	}
	b.setReleases(p, pool, h)
	return true
}

// setReleases sets a pool's splits.
func (b *Board) setReleases(p *pool, name string, h ReleaseHistory) {
	p.streams.history = h
	b.emit(event.Event{Code: event.ReleasesDivided, Detail: name + ": " + h.newest().String()})
}

// maxUnconfigured bounds the pools without a configuration whose splits are kept; a row of splits has room for fewer.
const maxUnconfigured = 1024

// keepUnconfigured keeps the splits of a pool for when the configuration has it. A router that has just started may
// learn them first.
func (b *Board) keepUnconfigured(pool string, h ReleaseHistory) {
	before, ok := b.unconfigured[pool]
	if h.Number <= before.Number || !ok && len(b.unconfigured) >= maxUnconfigured {
		return
	}
	b.unconfigured[pool] = h
}

// NextReleases returns the splits of a pool once they have to change; ok is false while they do not.
// Before the first change, the split that has been in effect is added.
func (b *Board) NextReleases(now time.Time, pool string, life time.Duration) (next ReleaseHistory, ok bool) {
	p, ok := b.pools[pool]
	if !ok {
		return next, false
	}
	h := p.streams.history
	if len(h.Splits) == 0 {
		h.Splits = []ReleaseSplit{unknownSplit(now.Add(-life - LateSplitTime))}
		if p.streams.known {
			h.Splits = []ReleaseSplit{WholeSplit(time.Time{}, p.streams.sole)}
		}
	} else if now.Before(h.newest().From) {
		return next, false
	}
	split, ok := h.newest().next(now.Add(SplitLead), b.releaseWeights(now, p))
	if !ok {
		return next, false
	}
	if _, known := h.newest().Release(0); !known {
		// No stream can have begun under a split of which nothing is known.
		split.From = now
	}
	next = ReleaseHistory{Number: h.Number + 1, Splits: append(slices.Clone(h.Splits), split)}
	return next.without(now.Add(-life - LateSplitTime)), true
}

// FirstReleases returns splits for the pools of resumable streams that have none and whose targets have all been of
// one release. Routers that start after that release was replaced must not take the other one for the only one.
func (b *Board) FirstReleases() map[string]ReleaseHistory {
	if b.snap == nil {
		return nil
	}
	out := make(map[string]ReleaseHistory)
	for _, r := range b.snap.Config.Routes {
		if !r.Resumable {
			continue
		}
		for _, name := range poolsOfRoute(r) {
			if p, ok := b.pools[name]; ok && p.streams.unrecorded() {
				out[name] = ReleaseHistory{Number: 1, Splits: []ReleaseSplit{WholeSplit(time.Time{}, p.streams.sole)}}
			}
		}
	}
	return out
}

// poolsOfRoute returns the pools to which a route leads.
func poolsOfRoute(r policy.Route) []string {
	out := []string{r.Pool}
	for _, s := range r.Split {
		out = append(out, s.Pool)
	}
	return out
}

// unrecorded reports whether no split of the pool is known, and a first one can be given.
func (s *releaseState) unrecorded() bool {
	return s.known && len(s.history.Splits) == 0 && !s.several()
}

// releaseWeights returns the shares of new streams that the releases of a pool are to get: those of the
// listed targets, changed by a roll-out.
func (b *Board) releaseWeights(now time.Time, p *pool) map[string]float64 {
	weights := maps.Clone(p.streams.listed)
	ro, ok := b.rollouts[p.compiled.Name]
	if !ok || weights[ro.order.Release] == 0 || len(weights) == 1 {
		return weights
	}
	others := 0.0
	for release, w := range weights {
		if release != ro.order.Release {
			others += w
		}
	}
	share := b.streamExposure(now, ro)
	if share >= 1 {
		return map[string]float64{ro.order.Release: 1}
	}
	weights[ro.order.Release] = share / (1 - share) * others
	return weights
}

// Parts of a roll-out's share that streams which may be resumed get.
const (
	// streamTrialFraction leaves room for chance in the share of a release on trial, since streams go by
	// the hash of their ids.
	streamTrialFraction = 0.5
	// streamRampSteps is the number of steps in which streams follow the ramp.
	streamRampSteps = 4
)

// streamExposure returns the share of new streams that the release of a roll-out is to get.
func (b *Board) streamExposure(now time.Time, ro *rollout) float64 {
	switch ro.phase {
	case RolloutTrial:
		if ro.detector.regressed() {
			return 0
		}
		return streamTrialFraction * b.exposure
	case RolloutMoving:
		if ro.detector.regressed() {
			return 0
		}
		steps := float64(int(streamRampSteps * ro.ramp(now)))
		return max(streamTrialFraction*b.exposure, steps/streamRampSteps)
	case RolloutCompleted:
		return 1
	case RolloutPending, RolloutRolledBack:
	}
	return 0
}

// pinHolds reports whether a pinned request may not go to its release now, since a roll-out keeps new
// requests away from it.
func (b *Board) pinHolds(p *pool, r *request) bool {
	ro, ok := b.rollouts[p.compiled.Name]
	if !ok || !r.Pin.Set || r.continues() || r.Pin.Release != ro.order.Release || !p.hasUsable(func(t *target) bool { return t.release != ro.order.Release }) {
		return false
	}
	return ro.phase == RolloutPending || ro.phase == RolloutRolledBack || ro.detector.regressed()
}

// pinAtPlacing pins a new stream that arrived before this router knew a release of its pool. It reports
// whether the request may be placed: not while the pool has several releases and no known split.
func (b *Board) pinAtPlacing(now time.Time, p *pool, r *request) bool {
	if r.Pin.Set || !r.Streams || !r.Resumable {
		return true
	}
	release, ok := b.NewStreamRelease(now, r.Pool, r.ID)
	if ok {
		r.Pin = PinTo(release)
	}
	return ok || !p.streams.several()
}

// continues reports whether the request continues a stream of which the caller has a part.
func (r *request) continues() bool { return r.delivered || r.Continues }

// releaseUnlisted reports whether the list has no target of the release that a request is pinned to, while it
// has others.
func (p *pool) releaseUnlisted(r *request) bool {
	return r.Pin.Set && len(p.streams.listed) > 0 && p.streams.listed[r.Pin.Release] == 0
}

// ReleaseSplitUpdate is a split as routers report it to each other.
type ReleaseSplitUpdate struct {
	// Age is the time since the split took effect, negative before that; it has no meaning if Always is
	// set.
	Age    time.Duration
	Always bool
	Names  []string
	Slots  [ReleaseSlots]int8
}

// ReleaseUpdate is a pool's splits as routers report them to each other.
type ReleaseUpdate struct {
	Pool   string
	Number int64
	Splits []ReleaseSplitUpdate
}

// joined returns the newer of two updates.
func (u ReleaseUpdate) joined(o ReleaseUpdate) ReleaseUpdate {
	if o.Number > u.Number {
		return o
	}
	return u
}

// aged returns the update as of a later time.
func (u ReleaseUpdate) aged(by time.Duration) ReleaseUpdate {
	u.Splits = slices.Clone(u.Splits)
	for i := range u.Splits {
		u.Splits[i].Age += by
	}
	return u
}

// history returns the splits by this router's clock.
func (u ReleaseUpdate) history(now time.Time) ReleaseHistory {
	h := ReleaseHistory{Number: u.Number}
	for _, s := range u.Splits {
		split := ReleaseSplit{Names: s.Names, Slots: s.Slots}
		if !s.Always {
			split.From = now.Add(-s.Age)
		}
		h.Splits = append(h.Splits, split)
	}
	return h
}

// releaseUpdates returns the splits of the pools with several releases.
func (b *Board) releaseUpdates(now time.Time) []ReleaseUpdate {
	var out []ReleaseUpdate
	for _, name := range b.SeveralReleases() {
		h := b.pools[name].streams.history
		if len(h.Splits) == 0 {
			continue
		}
		u := ReleaseUpdate{Pool: name, Number: h.Number}
		for _, s := range h.Splits {
			split := ReleaseSplitUpdate{Always: s.From.IsZero(), Names: s.Names, Slots: s.Slots}
			if !split.Always {
				split.Age = now.Sub(s.From)
			}
			u.Splits = append(u.Splits, split)
		}
		out = append(out, u)
	}
	return out
}

// mergeReleases takes over newer splits from other routers.
func (b *Board) mergeReleases(now time.Time, states map[string]PeerState) {
	for _, s := range states {
		for _, u := range s.Releases {
			b.AdoptReleases(now, u.Pool, u.history(now))
		}
	}
}

// ForgetOldSplits drops the splits of a pool under which no stream can be under way any more.
func (b *Board) ForgetOldSplits(now time.Time, pool string, life time.Duration) {
	if p, ok := b.pools[pool]; ok && len(p.streams.history.Splits) > 1 {
		p.streams.history = p.streams.history.without(now.Add(-life - LateSplitTime))
	}
}
