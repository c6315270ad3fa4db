package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// RosterMessage is what a process of a large fleet says of itself and of those that report to it.
type RosterMessage[S any] struct {
	From Member
	// Relay says that From acts as a relay.
	Relay bool
	// Members are those whom the word speaks for besides From, Relays the relays as
	// From sees them, by which relays that do not know each other yet meet.
	Members []Member
	Relays  []Member
	// State is the joined state of all of them.
	State S
}

// Roster is what one process of a large fleet knows of the others. A few
// members, the relays, hear the reports of all others and exchange with each
// other what was reported to them; each answers its reporters with the rest.
//
// A word that was relayed is never relayed again between relays, so that nobody
// is counted twice and nobody stays on the roster by rumour.
type Roster[S any] struct {
	self      Member
	timeout   time.Duration
	startedAt time.Time
	// reporters are the processes that report here, answers what was answered to
	// this one's own reports, hints the members that others told of in passing.
	reporters map[string]receivedMessage[S]
	answers   map[string]receivedMessage[S]
	hints     map[string]hint
	// avoided are members that did not answer, with the time until which they are passed over.
	avoided map[string]time.Time
	// members and relays are as they were worked out last, told are the members that
	// are told to others. They are stale once a word says something new or one was
	// forgotten, which is looked for every expiryInterval: working them out each time
	// took an eighth of what 82 nodes spend on each other.
	members         []Member
	announced       []Member
	announcedDigest uint64
	relays          []Member
	stale           bool
	lastExpiry      time.Time
	// aged returns a state as it counts some time after it was told.
	ageState func(state S, age time.Duration) S
}

// RosterOption changes a [Roster] at its construction.
type RosterOption[S any] func(*Roster[S])

// WithStateAging sets what a state counts for some time after it was told; without it, that
// stays what it was.
func WithStateAging[S any](aged func(state S, age time.Duration) S) RosterOption[S] {
	return func(r *Roster[S]) { r.ageState = aged }
}

// expiryInterval is the time between two looks for what was not said again in time.
const expiryInterval = 100 * time.Millisecond

// receivedMessage is a word and when it came.
type receivedMessage[S any] struct {
	message RosterMessage[S]
	// whole says that the word speaks for all members but this one.
	complete bool
	at       time.Time
}

type hint struct {
	member Member
	at     time.Time
}

// avoidDuration is how long a member that did not answer is passed over, and
// relayStartDelay how long a process that nobody answers waits before it relays itself.
const (
	avoidDuration   = 3 * time.Second
	relayStartDelay = 2 * time.Second
)

// NewRoster returns the roster of a process that knows itself alone. What was not
// said again for timeout is forgotten.
func NewRoster[S any](now time.Time, self Member, timeout time.Duration, opts ...RosterOption[S]) *Roster[S] {
	r := &Roster[S]{
		self: self, timeout: timeout, startedAt: now,
		reporters: make(map[string]receivedMessage[S]),
		answers:   make(map[string]receivedMessage[S]),
		hints:     make(map[string]hint),
		avoided:   make(map[string]time.Time),
		stale:     true,
		ageState:  func(s S, _ time.Duration) S { return s },
	}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// state returns what a word says of the state of those it speaks for, as it counts now.
func (r *Roster[S]) state(now time.Time, h receivedMessage[S]) S {
	return r.ageState(h.message.State, now.Sub(h.at))
}

// SetPower changes how much work this process says that it can take.
func (r *Roster[S]) SetPower(power float64) {
	if r.self.Power != power {
		r.self.Power = power
		r.stale = true
	}
}

// Self returns this process as a member.
func (r *Roster[S]) Self() Member { return r.self }

// Hint takes members that are said to live.
func (r *Roster[S]) Hint(now time.Time, members ...Member) {
	for _, m := range members {
		h, ok := r.hints[m.ID]
		_, avoided := r.avoided[m.ID]
		if m.ID == r.self.ID || avoided || ok && h.member.Epoch > m.Epoch {
			continue
		}
		if h.member != m {
			r.stale = true
		}
		r.hints[m.ID] = hint{m, now}
	}
}

// HandleReport takes a report.
func (r *Roster[S]) HandleReport(now time.Time, w RosterMessage[S]) {
	r.Hint(now, w.Relays...)
	if r.sentByRelay(now, w) {
		if _, ok := r.reporters[w.From.ID]; ok {
			delete(r.reporters, w.From.ID)
			r.stale = true
		}
		r.HandleAnswer(now, w, false)
		return
	}
	if old, ok := r.reporters[w.From.ID]; !ok || old.message.From != w.From || !slices.Equal(old.message.Members, w.Members) {
		r.stale = true
	}
	r.clearAvoided(w.From.ID)
	r.reporters[w.From.ID] = receivedMessage[S]{message: w, at: now}
}

// HandleAnswer takes the answer to an own report; whole says that it speaks for all others.
func (r *Roster[S]) HandleAnswer(now time.Time, w RosterMessage[S], whole bool) {
	r.Hint(now, w.Relays...)
	old, ok := r.answers[w.From.ID]
	if !ok || old.message.From != w.From || !slices.Equal(old.message.Members, w.Members) {
		r.stale = true
	}
	r.clearAvoided(w.From.ID)
	r.answers[w.From.ID] = receivedMessage[S]{message: w, complete: whole, at: now}
}

// clearAvoided notes that a member answers again.
func (r *Roster[S]) clearAvoided(id string) {
	if _, ok := r.avoided[id]; ok {
		delete(r.avoided, id)
		r.stale = true
	}
}

// Failed notes that a member did not answer a report. Those that it told of last are
// taken to live on until somebody tells anew.
func (r *Roster[S]) Failed(now time.Time, id string) {
	r.avoided[id] = now.Add(avoidDuration)
	if h, ok := r.answers[id]; ok {
		r.Hint(h.at, h.message.Members...)
	}
	delete(r.answers, id)
	delete(r.hints, id)
	r.stale = true
}

// entryCount is how many words, hints and failures are remembered.
func (r *Roster[S]) entryCount() int {
	return len(r.reporters) + len(r.answers) + len(r.hints) + len(r.avoided)
}

// expire drops what was not said again in time.
func (r *Roster[S]) expire(now time.Time) {
	old := func(_ string, h receivedMessage[S]) bool { return now.Sub(h.at) > r.timeout }
	before := r.entryCount()
	maps.DeleteFunc(r.reporters, old)
	maps.DeleteFunc(r.answers, old)
	maps.DeleteFunc(r.hints, func(_ string, h hint) bool { return now.Sub(h.at) > r.timeout })
	maps.DeleteFunc(r.avoided, func(_ string, until time.Time) bool { return now.After(until) })
	if r.entryCount() != before {
		r.stale = true
	}
}

// recompute works out members and relays, if they may have changed.
func (r *Roster[S]) recompute(now time.Time) {
	if now.Sub(r.lastExpiry) >= expiryInterval {
		r.expire(now)
		r.lastExpiry = now
	}
	if !r.stale {
		return
	}
	r.stale = false
	r.announced = r.known(false)
	r.announcedDigest = Digest(r.announced...)
	r.members = r.known(true)
	r.relays = slices.DeleteFunc(slices.Clone(r.members), func(m Member) bool {
		_, avoided := r.avoided[m.ID]
		return avoided
	})
	r.relays = Relays(r.relays, RelayCount(len(r.members)))
}

// known joins all members that are told of, in the order of their ids. A hint is
// not told on: two processes that tell each other would keep it for ever.
func (r *Roster[S]) known(hinted bool) []Member {
	all := make(map[string]Member)
	add := func(ms ...Member) {
		for _, m := range ms {
			if old, ok := all[m.ID]; !ok || old.Epoch <= m.Epoch {
				all[m.ID] = m
			}
		}
	}
	for _, h := range r.hints {
		if hinted {
			add(h.member)
		}
	}
	for _, words := range []map[string]receivedMessage[S]{r.answers, r.reporters} {
		for _, h := range words {
			add(h.message.Members...)
		}
	}
	// What a process says of itself is newer than what others say of it.
	for _, words := range []map[string]receivedMessage[S]{r.answers, r.reporters} {
		for _, h := range words {
			add(h.message.From)
		}
	}
	all[r.self.ID] = r.self
	return slices.SortedFunc(maps.Values(all), func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
}

// Members returns all members known to live, this one included, in the order of
// their ids. The caller does not change them.
func (r *Roster[S]) Members(now time.Time) []Member {
	r.recompute(now)
	return r.members
}

// Relays returns the relays as this process sees them.
func (r *Roster[S]) Relays(now time.Time) []Member {
	r.recompute(now)
	return r.relays
}

// IsRelay reports whether this process relays now.
func (r *Roster[S]) IsRelay(now time.Time) bool {
	r.recompute(now)
	if len(r.answers) == 0 && now.Sub(r.startedAt) < relayStartDelay {
		return false
	}
	return r.isSelectedRelay(r.self.ID)
}

// Next returns whom to report to now: a relay reports to all other relays, any
// other process to the one relay that it prefers.
func (r *Roster[S]) Next(now time.Time) []Member {
	acting := r.IsRelay(now)
	relays := slices.DeleteFunc(slices.Clone(r.relays), func(m Member) bool { return m.ID == r.self.ID })
	if acting || len(relays) == 0 {
		return relays
	}
	return sortByPreference(r.self, relays)[:1]
}

// Report returns the word for the next reports, whose State is left to the
// caller: it joins this process's own state and those returned.
func (r *Roster[S]) Report(now time.Time) (RosterMessage[S], []S) {
	w := r.RelayMessage(now)
	var states []S
	for _, h := range r.reporters {
		w.Members = append(w.Members, h.message.From)
		w.Members = append(w.Members, h.message.Members...)
		states = append(states, r.state(now, h))
	}
	// While relays are chosen, one member may stand under several that report here.
	slices.SortFunc(w.Members, func(a, b Member) int {
		return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(b.Epoch, a.Epoch))
	})
	w.Members = slices.CompactFunc(w.Members, func(a, b Member) bool { return a.ID == b.ID })
	return w, states
}

// LastRelayContact returns when a relay was heard of last, zero if none was.
func (r *Roster[S]) LastRelayContact() time.Time {
	var at time.Time
	for _, h := range r.answers {
		if h.message.Relay && h.at.After(at) {
			at = h.at
		}
	}
	return at
}

// Reporters returns the processes that report here.
func (r *Roster[S]) Reporters() []Member {
	out := make([]Member, 0, len(r.reporters))
	for _, h := range r.reporters {
		out = append(out, h.message.From)
	}
	return out
}

// sentByRelay reports whether a word is a relay's. One that says so and knows too few
// members to be right is answered as any other process, which mends that.
func (r *Roster[S]) sentByRelay(now time.Time, w RosterMessage[S]) bool {
	r.recompute(now)
	return w.Relay && r.isSelectedRelay(w.From.ID)
}

// isSelectedRelay reports whether a member is among the relays as they were worked out.
func (r *Roster[S]) isSelectedRelay(id string) bool {
	return slices.ContainsFunc(r.relays, func(m Member) bool { return m.ID == id })
}

// RelayMessage returns a word that says no more than who relays, for a process that only
// looks for them.
func (r *Roster[S]) RelayMessage(now time.Time) RosterMessage[S] {
	return RosterMessage[S]{From: r.self, Relay: r.IsRelay(now), Relays: r.relays}
}

// Announced returns the members that are announced to others, this process among them, and their digest. The
// caller does not change them.
func (r *Roster[S]) Announced(now time.Time) ([]Member, uint64) {
	r.recompute(now)
	return r.announced, r.announcedDigest
}

// Answer is what a process answers to a report.
type Answer[S any] struct {
	Word RosterMessage[S]
	// States are joined, with the process's own, into the word's.
	States []S
	// Whole says that the word speaks for everyone but the reporter, Digest names its members
	// and Same says that they are left out, since the reporter knows them.
	Whole  bool
	Digest uint64
	Same   bool
}

// Answer returns the answer to a report by a process that knows the members that a digest names.
// Relays hear from each other of themselves and their reporters, any other process hears of
// everyone but itself.
func (r *Roster[S]) Answer(now time.Time, to RosterMessage[S], known uint64) (out Answer[S]) {
	if r.IsRelay(now) && r.sentByRelay(now, to) {
		out.Word, out.States = r.Report(now)
		return out
	}
	out.Word, out.States, out.Whole = r.RelayMessage(now), r.OtherStates(now, to.From.ID), true
	out.Digest = r.announcedDigest
	for _, m := range r.announced {
		if m.ID == r.self.ID || m.ID == to.From.ID {
			out.Digest ^= Digest(m)
		}
	}
	if out.Same = out.Digest == known; out.Same {
		return out
	}
	out.Word.Members = slices.DeleteFunc(slices.Clone(r.announced), func(m Member) bool { return m.ID == r.self.ID || m.ID == to.From.ID })
	return out
}

// OtherStates returns the states of all others but one, so far as they are known.
func (r *Roster[S]) OtherStates(now time.Time, but string) []S {
	acting := r.IsRelay(now)
	var states []S
	for id, h := range r.reporters {
		if id != but {
			states = append(states, r.state(now, h))
		}
	}
	newest := receivedMessage[S]{}
	for id, h := range r.answers {
		switch {
		case !h.message.Relay || id == but:
		case acting && !h.complete:
			states = append(states, r.state(now, h))
		case !acting && h.complete && (h.at.After(newest.at) || h.at.Equal(newest.at) && id < newest.message.From.ID):
			newest = h
		}
	}
	if !newest.at.IsZero() {
		states = append(states, r.state(now, newest))
	}
	return states
}
