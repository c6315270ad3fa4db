package route

import (
	"cmp"
	"fmt"
	"math"
	"math/bits"
	"slices"
	"time"

	"github.com/pathhead/pathhead/event"
)

// A target may announce that it is brittle: it fails if it has to reject more than a number of
// requests per second, from all routers together, because it is full. What it lets wait may shrink
// at any time. So the routers divide its slots among themselves, which needs no message for a single
// request: each router has places there and normally sends only into these. A place moves on from
// router to router over time, so that many routers can use few places.

// BrittleHint is the announcement of a target that it is brittle. The zero value announces nothing.
type BrittleHint struct {
	Named bool
	// MaxRejected is the number of requests per second that the target can reject.
	MaxRejected float64
	// Invalid is set if the number could not be parsed; what is known then stays in force.
	Invalid bool
}

// brittleness is what a router knows of a target that announced that it is brittle. It ends with
// the target's incarnation.
type brittleness struct {
	named       bool
	maxRejected float64
	// lost is the number of slots that the target was found to lack at lostAt.
	lost   int
	lostAt time.Time
	// seq increases with each change that any router observes. at is when this router learned of it.
	seq uint64
	at  time.Time
	// answeredAt is when this router last received an answer of the incarnation.
	answeredAt time.Time
	// rejected are the times of the last second's rejections of requests of this router, others the
	// number of those that other routers reported at othersAt.
	rejected []time.Time
	others   float64
	othersAt time.Time
}

// BrittleUpdate is what routers report to each other about a brittle target.
type BrittleUpdate struct {
	Target TargetKey
	// Seq orders the updates about an incarnation. Of two with the same Seq, the more careful one
	// applies.
	Seq uint64
	// Named is false if the target no longer announces that it is brittle.
	Named       bool
	MaxRejected float64
	// Lost is the number of slots that the target was found to lack.
	Lost int
	// Rejected is the number of requests that the target rejected within the last second.
	Rejected float64
}

// PoolArrivals is the rate of the requests for a pool with brittle targets.
type PoolArrivals struct {
	Pool      string
	PerSecond float64
}

// Position is the place of a router in the order in which the known routers divide brittle targets.
// Group identifies the known routers; routers that know different ones begin at different places.
type Position struct {
	Index, Of int
	Group     uint64
}

// brittlePool is what a router knows of the brittle targets of a pool.
type brittlePool struct {
	// maxRejected is the lowest number that a member announced since a time. Until another time it
	// applies to members of which nothing is known since then: the targets of a service are mostly
	// brittle together.
	maxRejected  float64
	since, until time.Time
	// start and width are the part of each target's slots that is this router's; width is zero if it
	// is unknown.
	start, width float64
	// slots is the number of slots of all targets, and places the number of this router's places at the pool's targets.
	slots, places int
	arrivals      arrivalRate
}

// Constants of brittle targets.
const (
	// rejectedFraction is the part of the rejections that a target can bear which all routers
	// together risk.
	rejectedFraction = 0.5
	// rejectedWindow is the time over which a target counts its rejections.
	rejectedWindow = time.Second
	// lostSlotsFraction is the part of its slots that a target that rejects a request is taken to
	// lack, and lostSlotTime the time after which one of these is tried again.
	lostSlotsFraction = 0.1
	lostSlotTime      = 5 * time.Second
	// lostSlotsPause is the time in which further rejections show nothing new, since the routers did
	// not know of the first one yet.
	lostSlotsPause = 500 * time.Millisecond
	// placesByDemand is the part of the places that goes to routers by their demand. The rest is
	// divided equally, for demand that begins.
	placesByDemand = 0.75
	// arrivalSmoothing is the time over which the demand is averaged, and arrivalReportLag the time in
	// which a report of it reaches the others.
	arrivalSmoothing = 4 * time.Second
	arrivalReportLag = time.Second
	// placeStepTime is the time for which a place stays with a router at least: many times that of a
	// request, since a place that moves on is not used for that long.
	placeStepTime = 8 * time.Second
	// fewPlacesStepTime is that time in a pool with fewer slots than routers, where some have no place
	// meanwhile.
	fewPlacesStepTime = 3 * time.Second
	// riskLoad is the part of its slots below which a target appears to have room for requests of
	// routers without a place there.
	riskLoad = 0.5
	// handoverFactor is the time before a place moves on in which it is not used again, as a multiple
	// of the time of a request, and maxHandover bounds it.
	handoverFactor = 1.5
	maxHandover    = time.Second
	// brittlePoolTime is how long a pool whose brittle targets failed is still taken to have some.
	brittlePoolTime = 15 * time.Second
	// freshBrittleTime is the time for which news of a target goes before older information in
	// reports, and endedBrittleTime that for which the end of its brittleness is reported.
	freshBrittleTime = time.Second
	endedBrittleTime = 5 * time.Second
	// maxBrittleUpdates bounds the updates in a [PeerState], some 45 bytes each.
	maxBrittleUpdates = 16
)

// PositionAmong returns the position of the router with the given name among the known ones, which
// are sorted.
func PositionAmong(names []string, own string) Position {
	i, found := slices.BinarySearch(names, own)
	if !found {
		return Position{Of: 1, Group: senderID(own)}
	}
	return Position{Index: i, Of: len(names), Group: senderID(names[0])}
}

// SetPosition sets this router's position among the known routers of a large fleet.
func (b *Board) SetPosition(p Position) { b.position = p }

// applyBrittleHint applies what an answer to a request that was sent at the given time announces.
func (b *Board) applyBrittleHint(now time.Time, t *target, sent time.Time, h BrittleHint) {
	known := &t.brittle
	known.answeredAt = now
	switch {
	case h.Invalid, !h.Named && !known.named:
	case h.Named && known.named && h.MaxRejected == known.maxRejected:
		known.at = now
	case h.Named, sent.After(known.at):
		b.setBrittle(now, t, BrittleUpdate{Seq: known.seq + 1, Named: h.Named, MaxRejected: h.MaxRejected, Lost: known.lacking(now)}, "an answer")
	}
}

// setBrittle sets what is known of a target.
func (b *Board) setBrittle(now time.Time, t *target, u BrittleUpdate, source string) {
	known := &t.brittle
	if u.Named != known.named || u.MaxRejected != known.maxRejected {
		text := "no longer brittle"
		if u.Named {
			text = fmt.Sprintf("it can reject %g requests per second", u.MaxRejected)
		}
		b.emit(event.Event{Code: event.TargetBrittle, Target: t.name(), Detail: text + ", reported by " + source})
	}
	known.named, known.maxRejected, known.seq, known.at = u.Named, u.MaxRejected, u.Seq, now
	known.lost, known.lostAt = u.Lost, now
	if u.Named {
		b.noteBrittlePools(now, t)
	}
}

// noteBrittlePools records that a target's pools have brittle members.
func (b *Board) noteBrittlePools(now time.Time, t *target) {
	b.brittleUntil = now.Add(brittlePoolTime)
	for _, p := range t.pools {
		if now.After(p.brittle.until) {
			p.brittle = brittlePool{maxRejected: t.brittle.maxRejected, since: now}
		}
		p.brittle.maxRejected = min(p.brittle.maxRejected, t.brittle.maxRejected)
		p.brittle.until = b.brittleUntil
	}
}

// lacking returns the number of slots that the target is taken to lack now.
func (k *brittleness) lacking(now time.Time) int {
	return max(0, k.lost-int(now.Sub(k.lostAt)/lostSlotTime))
}

// maxRejectedBy returns the rejections per second that a target can bear, if it is brittle or, as
// long as nothing is known of it, others of its pool are.
func (b *Board) maxRejectedBy(now time.Time, t *target, p *pool) (perSecond float64, brittle bool) {
	switch {
	case !now.Before(b.brittleUntil) || b.disabled.Has(BrittleTargets):
		return 0, false
	case t.brittle.named:
		return t.brittle.maxRejected, true
	case t.brittle.answeredAt.After(p.brittle.since) || t.brittle.seq > 0 && t.brittle.at.After(p.brittle.since):
		return 0, false
	}
	return p.brittle.maxRejected, now.Before(p.brittle.until)
}

// brittleRoom returns whether this router may send a request to a target now as far as its
// brittleness is concerned, and otherwise whether waiting for it is worthwhile: an engine may have
// the prompt's prefix cached.
func (b *Board) brittleRoom(now time.Time, t *target, p *pool, r *request) (room, soon bool) {
	limit, brittle := b.maxRejectedBy(now, t, p)
	if !brittle {
		return true, true
	}
	if b.restsFromRejections(now, t, limit) {
		return false, false
	}
	places := b.places(now, t, p)
	if len(t.attempts) < places {
		// Requests of a router that had the place before may still run there.
		return len(t.attempts)+t.peerInFlight < t.brittleSlots(now, p), r.Model != nil
	}
	return b.mayRisk(now, t, p, limit), places > 0 && r.Model != nil
}

// lacksPlace reports whether the router has no place for a further request at a brittle target.
func (b *Board) lacksPlace(now time.Time, t *target, p *pool) bool {
	_, brittle := b.maxRejectedBy(now, t, p)
	return brittle && len(t.attempts) >= b.places(now, t, p)
}

// restsFromRejections reports whether the target rejected so many requests within the last second
// that this router's part of what it can bear is used up, or that of all routers.
func (b *Board) restsFromRejections(now time.Time, t *target, limit float64) bool {
	own := float64(t.brittle.countRejected(now))
	if own == 0 && t.brittle.others == 0 {
		return false
	}
	all := own
	if now.Sub(t.brittle.othersAt) < rejectedWindow {
		all += t.brittle.others
	}
	bearable := rejectedFraction * limit
	return own >= max(1, bearable/float64(b.allRouters(now))) || all >= max(1, bearable)
}

// countRejected returns the number of this router's requests that the target rejected within the
// last second.
func (k *brittleness) countRejected(now time.Time) int {
	k.rejected = slices.DeleteFunc(k.rejected, func(at time.Time) bool { return now.Sub(at) >= rejectedWindow })
	return len(k.rejected)
}

// allRouters returns the number of routers that may send to a target.
func (b *Board) allRouters(now time.Time) int {
	_, all := b.countLimitSharers(now)
	return max(all, 1)
}

// brittleSlots returns the number of requests that all routers together may have at a brittle
// target.
func (t *target) brittleSlots(now time.Time, p *pool) int {
	return max(1, min(t.slots(), t.window(p))-t.brittle.lacking(now))
}

// places returns the number of requests that this router may have at a brittle target. A place that
// moves on to another router within the time of a request is no longer used.
func (b *Board) places(now time.Time, t *target, p *pool) int {
	return min(b.placesAt(now, now, t, p), b.placesAt(now, now.Add(min(seconds(handoverFactor*t.service.Seconds()), maxHandover)), t, p))
}

// placesAt returns the number of this router's places at a target at a time, by what is known now.
// The parts of all routers cover a circle around which the places move together, so that no place
// belongs to two routers if they agree on their parts. Places lie apart by the golden ratio, which
// spreads them evenly, and a slot that a target lacks moves no other place.
func (b *Board) placesAt(now, at time.Time, t *target, p *pool) int {
	all := b.allRouters(now)
	start, width := p.brittle.start, p.brittle.width
	if width == 0 {
		start, width = b.equalStart(all), 1/float64(all)
	}
	cycle := p.brittle.stepTime(all) << bits.Len(uint(all-1))
	position := hashFraction(t.hash) + float64(at.UnixMilli()%cycle.Milliseconds())/float64(cycle.Milliseconds()) + 1 - start
	n := 0
	for range t.brittleSlots(now, p) {
		if position -= math.Floor(position); position < width {
			n++
		}
		position += math.Phi - 1
	}
	return n
}

// equalStart returns where this router's part of the slots begins if all routers have equal parts.
// Routers that do not know all others begin where it is unlikely that others do.
func (b *Board) equalStart(all int) float64 {
	offset := uint64(0)
	if b.position.Of < all {
		if b.position.Of <= 1 {
			return hashFraction(b.brittleID())
		}
		offset = b.position.Group % uint64(all)
	}
	return float64((uint64(b.position.Index)+offset)%uint64(all)) / float64(all)
}

// hashFraction returns a number in [0, 1) for a hash.
func hashFraction(hash uint64) float64 { return float64(mixHash(hash)>>11) / (1 << 53) }

// brittleID returns a number that distinguishes this router from others.
func (b *Board) brittleID() uint64 {
	if b.notices.id != 0 {
		return b.notices.id
	}
	if b.ownID == 0 {
		b.ownID = max(1, b.rng.Uint64())
	}
	return b.ownID
}

// mayRisk reports whether the router, which has no place at any target of the pool, may send a request
// to a target all the same. The target must appear to have room, and in each second only so many
// routers take the risk, by a draw, that the target can bear it if it rejects all of them.
func (b *Board) mayRisk(now time.Time, t *target, p *pool, limit float64) bool {
	if p.brittle.places > 0 || float64(t.inFlight()) >= riskLoad*float64(t.brittleSlots(now, p)) || t.brittle.countRejected(now) > 0 {
		return false
	}
	second := uint64(now.UnixMilli() / rejectedWindow.Milliseconds())
	draw := hashFraction(b.brittleID() ^ t.hash ^ mixHash(second))
	return float64(len(t.attempts)) < math.Floor(rejectedFraction*limit/float64(b.allRouters(now))+draw)
}

// recordRejection records that a target rejected a request because it was full.
func (b *Board) recordRejection(now time.Time, a *attempt, o Outcome) {
	t := a.target
	if o.Kind != OutcomeRefused || !o.Unavailable || !t.brittle.named || !a.Incarnation.Same(t.incarnation) || now.Before(t.loadingUntil) {
		return
	}
	t.brittle.countRejected(now)
	t.brittle.rejected = append(t.brittle.rejected, now)
	if a.risky || t.brittle.lost > 0 && now.Sub(t.brittle.lostAt) < lostSlotsPause {
		return
	}
	lost := t.brittle.lacking(now) + int(math.Ceil(lostSlotsFraction*float64(t.slots())))
	b.setBrittle(now, t, BrittleUpdate{Seq: t.brittle.seq + 1, Named: true, MaxRejected: t.brittle.maxRejected, Lost: min(lost, t.slots()-1)}, "a rejection")
}

// newer reports whether the update supersedes another.
func (u BrittleUpdate) newer(o BrittleUpdate) bool {
	switch {
	case u.Seq != o.Seq:
		return u.Seq > o.Seq
	case u.Named != o.Named:
		return u.Named
	case u.MaxRejected != o.MaxRejected:
		return u.MaxRejected < o.MaxRejected
	}
	return u.Lost > o.Lost
}

// joined merges an update from further routers about the same target.
func (u BrittleUpdate) joined(o BrittleUpdate) BrittleUpdate {
	rejected := u.Rejected + o.Rejected
	if o.newer(u) {
		u = o
	}
	u.Rejected = rejected
	return u
}

// joinBrittle merges the updates of several states. Those with rejections are kept before others.
func joinBrittle(states []PeerState) []BrittleUpdate {
	joined := make(map[TargetKey]BrittleUpdate)
	for _, s := range states {
		for _, u := range s.Brittle {
			joined[u.Target] = joined[u.Target].joined(u)
		}
	}
	var out []BrittleUpdate
	for _, u := range joined {
		out = append(out, u)
	}
	// The order of a map is random, so that all updates are passed on after some time.
	slices.SortStableFunc(out, func(a, b BrittleUpdate) int { return cmp.Compare(b.Rejected, a.Rejected) })
	return out[:min(len(out), maxBrittleUpdates)]
}

// brittleUpdates returns the updates for other routers, news first.
func (b *Board) brittleUpdates(now time.Time) []BrittleUpdate {
	if b.brittleUntil.IsZero() {
		return nil
	}
	var fresh, rest []BrittleUpdate
	for _, t := range b.targets {
		k := &t.brittle
		if !k.named && (k.seq == 0 || now.Sub(k.at) > endedBrittleTime) {
			continue
		}
		u := BrittleUpdate{Target: t.key(), Seq: k.seq, Named: k.named, MaxRejected: k.maxRejected, Lost: k.lost, Rejected: float64(k.countRejected(now))}
		if u.Rejected > 0 || now.Sub(k.lostAt) < freshBrittleTime {
			fresh = append(fresh, u)
		} else {
			rest = append(rest, u)
		}
	}
	fresh = append(fresh, rest...)
	return fresh[:min(len(fresh), maxBrittleUpdates)]
}

// poolArrivals returns the arrival rates of the pools with brittle targets.
func (b *Board) poolArrivals(now time.Time) []PoolArrivals {
	var out []PoolArrivals
	for name, p := range b.pools {
		if !now.Before(p.brittle.until) {
			p.brittle.arrivals = arrivalRate{}
			continue
		}
		if p.brittle.arrivals.update(now, p.arrivals.rate(now)); len(out) < maxBrittleUpdates {
			out = append(out, PoolArrivals{name, p.brittle.arrivals.rate})
		}
	}
	return out
}

// arrivalRate is a smoothed rate of arrivals, so that places seldom move because of noise.
type arrivalRate struct {
	rate float64
	at   time.Time
	// least is the lowest rate since leastAt, or of the time before.
	least, next float64
	leastAt     time.Time
}

// update adds the rate of this moment. The other routers do not know the first one yet.
func (a *arrivalRate) update(now time.Time, rate float64) {
	if a.at.IsZero() {
		*a = arrivalRate{rate: rate, at: now, next: rate, leastAt: now}
		return
	}
	a.rate += (rate - a.rate) * min(1, now.Sub(a.at).Seconds()/arrivalSmoothing.Seconds())
	a.at = now
	a.next = min(a.next, a.rate)
	if now.Sub(a.leastAt) >= arrivalReportLag {
		a.least, a.next, a.leastAt = a.next, a.rate, now
	}
}

// known returns the rate that the other routers know at least. The share of a router whose demand
// grows thus does not grow before the others know it.
func (a *arrivalRate) known() float64 { return min(a.least, a.rate) }

// mergeBrittle merges what other routers reported about brittle targets, and divides the slots of
// these targets anew.
func (b *Board) mergeBrittle(now time.Time, states map[string]PeerState) {
	list := make([]PeerState, 0, len(states))
	for _, s := range states {
		list = append(list, s)
	}
	reported := make(map[TargetKey]BrittleUpdate)
	for _, s := range list {
		for _, u := range s.Brittle {
			if t, ok := b.targets[u.Target.Target]; ok && u.Target.Incarnation.Same(t.incarnation) {
				reported[t.key()] = reported[t.key()].joined(u)
			}
		}
	}
	for _, t := range b.targets {
		k, u := &t.brittle, reported[t.key()]
		if own := (BrittleUpdate{Seq: k.seq, Named: k.named, MaxRejected: k.maxRejected, Lost: k.lost}); u.newer(own) {
			b.setBrittle(now, t, u, "a peer")
		}
		k.others, k.othersAt = u.Rejected, now
		if k.named {
			b.noteBrittlePools(now, t)
		}
	}
	for name, p := range b.pools {
		if now.Before(p.brittle.until) {
			b.divide(now, name, p, states)
			b.countPlaces(now, p)
		}
	}
}

// countPlaces counts the slots of a pool's targets and this router's places there. Targets that fail
// at times count as well, so that routers agree on the number of slots.
func (b *Board) countPlaces(now time.Time, p *pool) {
	p.brittle.slots, p.brittle.places = 0, 0
	for _, t := range p.members {
		p.brittle.slots += min(t.slots(), t.window(p))
	}
	if n := len(p.members); n > 0 {
		// In a large pool only some targets are loaded.
		p.brittle.slots = p.brittle.slots * max(n, b.size(p)) / n
	}
	for _, t := range p.members {
		if t.usable() {
			p.brittle.places += b.placesAt(now, now, t, p)
		}
	}
}

// stepTime returns the time for which a place stays with one of that many routers.
func (k *brittlePool) stepTime(routers int) time.Duration {
	if k.slots < routers {
		return fewPlacesStepTime
	}
	return placeStepTime
}

// divide computes this router's part of the slots of a pool's brittle targets.
func (b *Board) divide(now time.Time, name string, p *pool, states map[string]PeerState) {
	all := b.allRouters(now)
	shares := b.knownShares(name, p, states)
	if shares == nil {
		p.brittle.width = 0
		return
	}
	total := 0.0
	for _, s := range shares {
		total += s.demand
	}
	known := min(1, float64(len(shares))/float64(all))
	share := func(s routerShare) float64 {
		equal := 1 / float64(all)
		if total == 0 {
			return equal
		}
		return (1-placesByDemand)*equal + placesByDemand*known*s.demand/total
	}
	slices.SortFunc(shares, func(a, b routerShare) int { return cmp.Compare(a.id, b.id) })
	start := 0.0
	if len(shares) < all {
		start = hashFraction(shares[0].id)
	}
	for _, s := range shares {
		if s.id == b.brittleID() {
			s.demand = p.brittle.arrivals.known()
			p.brittle.start, p.brittle.width = start, share(s)
			return
		}
		start += share(s)
	}
}

// routerShare is the demand of one router.
type routerShare struct {
	id     uint64
	demand float64
}

// knownShares returns the demand of the known routers for a pool, or nil if their states are merged
// or this router has no name: without the demand of each other router, in an order that all agree on, a
// part by demand would overlap those of others.
func (b *Board) knownShares(name string, p *pool, states map[string]PeerState) []routerShare {
	if b.notices.id == 0 {
		return nil
	}
	out := []routerShare{{b.brittleID(), p.brittle.arrivals.rate}}
	for id, s := range states {
		if s.routerCount() > 1 {
			return nil
		}
		if senderID(id) != b.brittleID() {
			out = append(out, routerShare{senderID(id), arrivalsAt(s.Arrivals, name)})
		}
	}
	return out
}

// arrivalsAt returns the rate of one pool.
func arrivalsAt(list []PoolArrivals, pool string) float64 {
	for _, a := range list {
		if a.Pool == pool {
			return a.PerSecond
		}
	}
	return 0
}
