package soak

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/pathhead/pathhead/platform/platformtest"
)

// Promise is a promise of the system that a check is for.
type Promise string

// The promises that are checked.
const (
	OwnAnswer     Promise = "own whole answer"
	WholeStream   Promise = "whole stream in order"
	AsSent        Promise = "runs as it was sent"
	OnceOnly      Promise = "runs once"
	TrueRefusal   Promise = "refusals are true"
	FewSends      Promise = "attempts of the route"
	OwnParts      Promise = "parts of own weights and organisation"
	ConfigInTime  Promise = "configuration in time"
	NeverBack     Promise = "configuration never back"
	KeysGone      Promise = "removed keys are gone"
	FewDenied     Promise = "proper requests are not denied"
	LeftAlone     Promise = "leaving targets get no work"
	OneHolder     Promise = "one holder of orders"
	WeightsBegin  Promise = "weights in time"
	WeightsAll    Promise = "all targets on the newest weights"
	StopsCutNone  Promise = "planned stops cut nothing"
	KeptAnswered  Promise = "kept connections are answered"
	AnswersInTime Promise = "answers within the route's time"
	BackInTime    Promise = "service is back"
	Runs          Promise = "processes keep running"
)

// Breach is a promise that was not kept.
type Breach struct {
	Promise Promise
	At      time.Time
	// Subject is the request, target or process.
	Subject string
	Detail  string
}

// judge holds a record against the promises.
type judge struct {
	Record
	byID     map[string]*Attempt
	runsOf   map[string][]platformtest.Run
	targets  map[string]Target
	breaches []Breach
}

// Judge returns the promises that a record breaks, in the order of time.
func Judge(r Record) []Breach {
	j := &judge{Record: r, byID: make(map[string]*Attempt), runsOf: make(map[string][]platformtest.Run), targets: make(map[string]Target)}
	for i := range r.Attempts {
		j.byID[r.Attempts[i].ID] = &r.Attempts[i]
	}
	for _, run := range r.Runs {
		j.runsOf[run.ID] = append(j.runsOf[run.ID], run)
	}
	for _, t := range r.Targets {
		j.targets[t.ID] = t
	}
	for _, check := range []func(){
		j.answers, j.sent, j.once, j.sends, j.configs, j.denied, j.leaving, j.orders, j.weights, j.pool,
		j.stops, j.kept, j.late, j.back, j.ends,
	} {
		check()
	}
	slices.SortStableFunc(j.breaches, func(a, b Breach) int { return a.At.Compare(b.At) })
	return j.breaches
}

func (j *judge) breach(p Promise, at time.Time, subject, format string, args ...any) {
	j.breaches = append(j.breaches, Breach{p, at, subject, fmt.Sprintf(format, args...)})
}

// quiet reports whether no trouble that counts touches a span of time.
func (j *judge) quiet(from, to time.Time, counts func(Trouble) bool) bool {
	return !slices.ContainsFunc(j.Troubles, func(t Trouble) bool {
		return counts(t) && !t.From.After(to) && !t.end(j.Now).Before(from)
	})
}

// onLink reports whether a trouble is one of a node's links. Connections that fall
// silent count as a reset of those of all nodes.
func onLink(t Trouble, node string) bool {
	return t.Scope == OfLink && (t.Subject == "" || t.Subject == node || t.Detail == string(Silence))
}

// inTouch reports whether a node is held to bounds of time over a span: its
// process ran, its links and the store were sound, from some time before it.
func (j *judge) inTouch(node string, from, to time.Time) bool {
	contact := j.Bounds.Contact
	return node != "" &&
		j.quiet(from.Add(-contact), to, func(t Trouble) bool {
			return t.Scope == OfNode && t.Subject == node || onLink(t, node)
		}) &&
		j.quiet(from.Add(-2*contact), to, func(t Trouble) bool { return t.Scope == OfStore })
}

// answers checks what callers got.
func (j *judge) answers() {
	for _, a := range j.Attempts {
		switch {
		case a.Done.IsZero() || a.Status == 0:
		case a.AnswerID != "" && a.AnswerID != a.ID:
			j.breach(OwnAnswer, a.Done, a.ID, "the answer is to %s", a.AnswerID)
		case a.Status != http.StatusOK:
			// A target's own failures have no other status.
			if a.Seal != "" && a.Status != http.StatusInternalServerError {
				j.breach(OwnAnswer, a.Done, a.ID, "a target's seal on status %d", a.Status)
			}
		case a.Seal != platformtest.Seal(a.ID):
			j.breach(OwnAnswer, a.Done, a.ID, "the seal is %q", a.Seal)
		case !strings.HasPrefix(a.wanted(), a.Answer) || a.Err == "" && a.Answer != a.wanted():
			p := OwnAnswer
			if a.Kind.streams() {
				p = WholeStream
			}
			j.breach(p, a.Done, a.ID, "got %q, error %q", a.Answer, a.Err)
		}
	}
}

// sent checks that runs are as callers sent them.
func (j *judge) sent() {
	for _, r := range j.Runs {
		a, ok := j.byID[r.ID]
		if !ok {
			j.breach(AsSent, r.Begun, r.ID, "no caller sent it")
			continue
		}
		switch {
		case r.Method != http.MethodPost, r.URI != a.Path, r.Host != hostName, r.Body != a.Body, r.Parts() != a.Parts:
			j.breach(AsSent, r.Begun, r.ID, "%s ran %s %s at %s with %d bytes", r.Replica, r.Method, r.URI, r.Host, len(r.Body))
		case r.Stale, r.Foreign:
			j.breach(OwnParts, r.Begun, r.ID, "parts of other weights: %t, of another organisation: %t", r.Stale, r.Foreign)
		}
	}
}

// once checks that what may run once did, and that refusals of it are true.
func (j *judge) once() {
	calls := make(map[string]int)
	for _, a := range j.Attempts {
		if !a.Kind.once() {
			continue
		}
		runs := j.runsOf[a.ID]
		if calls[a.Call] += len(runs); len(runs) > 0 && calls[a.Call] > 1 {
			j.breach(OnceOnly, runs[len(runs)-1].Begun, a.ID, "%d runs of the call", calls[a.Call])
		}
		if a.promised() && a.Seal == "" && len(runs) > 0 {
			j.breach(TrueRefusal, runs[0].Begun, a.ID, "refused with %d, ran at %s", a.Status, runs[0].Replica)
		}
	}
}

// sendsMost is how many requests may run at more targets than their route allows:
// targets that were lost meanwhile don't count, which is not told apart here.
const sendsMost = 3

// sends checks how many targets ran a request.
func (j *judge) sends() {
	var over []string
	var last time.Time
	for id, runs := range j.runsOf {
		a, ok := j.byID[id]
		most := map[CallKind]int{ResumeCall: 3, SafeCall: 2}
		if ok && len(runs) > max(1, most[a.Kind]) {
			over, last = append(over, id), runs[len(runs)-1].Begun
		}
	}
	if len(over) > sendsMost {
		slices.Sort(over)
		j.breach(FewSends, last, over[0], "and %d more", len(over)-1)
	}
}

// sighting is what became of a request, as far as that tells of the configuration.
type sighting struct {
	a      *Attempt
	at     time.Time
	run    bool
	seen   handling
	newest int
}

// sightings lists them in the order of time.
func (j *judge) sightings() []sighting {
	var out []sighting
	add := func(a *Attempt, at time.Time, run bool, seen handling) {
		newest := 0
		for i, c := range j.Configs {
			if c.Sent.Before(at) {
				newest = i
			}
		}
		out = append(out, sighting{a, at, run, seen, newest})
	}
	for i := range j.Attempts {
		a := &j.Attempts[i]
		for _, r := range j.runsOf[a.ID] {
			add(a, r.Begun, true, handling{service: r.Service, organisation: r.Organisation()})
		}
		if a.Seal == "" && !a.Done.IsZero() {
			switch a.Status {
			case http.StatusNotFound:
				add(a, a.Done, false, handling{noPath: true})
			case http.StatusUnauthorized:
				add(a, a.Done, false, handling{noKey: true})
			}
		}
	}
	slices.SortStableFunc(out, func(a, b sighting) int { return a.at.Compare(b.at) })
	return out
}

// oldest returns the first configuration from a place on that allows a sighting, or -1.
func (j *judge) oldest(s sighting, from int) int {
	for i := from; i <= s.newest; i++ {
		if handle(j.Configs[i].Config, s.a.Path, s.a.Key).allows(s.seen) {
			return i
		}
	}
	return -1
}

// inForce returns the place of the newest configuration that was acknowledged a bound before a time.
func (j *judge) inForce(at time.Time, bound time.Duration) int {
	place := 0
	for i, c := range j.Configs {
		if !c.Acked.IsZero() && c.Acked.Add(bound).Before(at) {
			place = i
		}
	}
	return place
}

// effects are when a process was first seen to have each configuration, by its place.
type effects []struct {
	at    time.Time
	place int
}

// add notes that a process had a configuration, or a newer one, at a time that is not before the others.
func (e effects) add(at time.Time, place int) effects {
	if len(e) > 0 && e[len(e)-1].place >= place {
		return e
	}
	return append(e, struct {
		at    time.Time
		place int
	}{at, place})
}

// before returns the newest configuration that was seen before a time.
func (e effects) before(at time.Time) int {
	place := 0
	for _, one := range e {
		if one.at.Before(at) {
			place = one.place
		}
	}
	return place
}

// slowed is how many times longer a process that is not in touch may answer by an older configuration.
const slowed = 8

// configs checks what was handled against the configurations that may be in force.
func (j *judge) configs() {
	type process struct {
		node string
		boot int
	}
	had := make(map[process]effects)
	for _, s := range j.sightings() {
		first := j.oldest(s, 0)
		if first < 0 {
			j.breach(AsSent, s.at, s.a.ID, "no configuration so far allows %+v", s.seen)
			continue
		}
		if s.run && j.keyGone(s) {
			j.breach(KeysGone, s.at, s.a.ID, "%s ran %s after it was sent by %s", s.a.Key, s.at.Sub(s.a.Sent), s.a.Node)
		}
		touch := j.inTouch(s.a.Node, s.a.Sent, s.at)
		if place := j.inForce(s.a.Sent, j.Bounds.Apply); touch && j.oldest(s, place) < 0 {
			j.breach(ConfigInTime, s.at, s.a.ID, "%s handled it as %+v, version %d was in force", s.a.Node, s.seen, j.Configs[place].Config.Version)
		}
		p, slack := process{s.a.Node, s.a.Boot}, j.Bounds.Back
		if !touch {
			slack *= slowed
		}
		if place := had[p].before(s.a.Sent.Add(-slack)); j.oldest(s, place) < 0 {
			j.breach(NeverBack, s.at, s.a.ID, "%s handled it as %+v after it had version %d", s.a.Node, s.seen, j.Configs[place].Config.Version)
		}
		if s.run {
			had[p] = had[p].add(s.at, first)
		}
	}
}

// keyGone reports whether a request ran with a key that was removed a bound before
// it was sent. That holds for all nodes, in touch or not.
func (j *judge) keyGone(s sighting) bool {
	for i := j.inForce(s.a.Sent, j.Bounds.Revoke); i <= s.newest; i++ {
		if !handle(j.Configs[i].Config, s.a.Path, s.a.Key).noKey {
			return false
		}
	}
	return true
}

// How many proper requests may be denied by nodes in touch, of so many, and by others.
const (
	deniedMost  = 5
	deniedEvery = 500
	deniedOut   = 10
)

// denied checks that what every configuration allows is not denied.
func (j *judge) denied() {
	var in, out []string
	var last time.Time
	for i := range j.Attempts {
		a := &j.Attempts[i]
		if a.Done.IsZero() || a.Status < 300 || a.Status >= 500 || a.Seal != "" || a.promised() {
			continue
		}
		proper := !slices.ContainsFunc(j.Configs, func(c Declared) bool {
			h := handle(c.Config, a.Path, a.Key)
			return h.noPath || h.noKey
		})
		switch {
		case !proper:
		case j.inTouch(a.Node, a.Sent, a.Done):
			in, last = append(in, a.ID), a.Done
		default:
			out, last = append(out, a.ID), a.Done
		}
	}
	if len(in) > deniedMost+len(j.Attempts)/deniedEvery || len(out) > deniedOut {
		j.breach(FewDenied, last, append(in, out...)[0], "%d by nodes in touch, %d by others", len(in), len(out))
	}
}

// leaving checks that targets get no work a while after they said that they leave.
func (j *judge) leaving() {
	for _, r := range j.Runs {
		t, a := j.targets[r.Replica], j.byID[r.ID]
		if t.Leaving.IsZero() || a == nil || !a.Sent.After(t.Leaving.Add(j.Bounds.Drain)) {
			continue
		}
		told := j.quiet(t.Leaving.Add(-j.Bounds.Contact), t.Leaving, func(t Trouble) bool { return t.Scope == OfStore })
		if told && j.inTouch(a.Node, a.Sent, r.Begun) {
			j.breach(LeftAlone, r.Begun, r.ID, "%s sent it %s after %s said that it leaves", a.Node, a.Sent.Sub(t.Leaving), t.ID)
		}
	}
}

// orders checks that orders come from one holder at a time, and that none is undone by an older.
func (j *judge) orders() {
	orders := slices.Clone(j.Orders)
	slices.SortStableFunc(orders, func(a, b platformtest.OrderSeen) int { return a.Arrived.Compare(b.Arrived) })
	holders := make(map[int64]string)
	last := make(map[string]platformtest.OrderSeen)
	accepted := make(map[string]int64)
	for _, o := range j.Orders {
		if o.Status != http.StatusAccepted {
			continue
		}
		if o.Version <= accepted[o.Replica] {
			j.breach(OneHolder, o.At, o.Replica, "weights %d taken after %d", o.Version, accepted[o.Replica])
		}
		accepted[o.Replica] = o.Version
	}
	for _, o := range orders {
		if !j.quiet(o.Arrived.Add(-j.Bounds.Thaw), o.Arrived, func(t Trouble) bool {
			return !t.Until.IsZero() && !t.Until.After(o.Arrived) && (t.Kind == Pause && t.Subject == o.Holder || t.Scope == OfLink)
		}) {
			continue
		}
		if h, ok := holders[o.Fence]; ok && h != o.Holder {
			j.breach(OneHolder, o.Arrived, o.Replica, "%s and %s with fence %d", h, o.Holder, o.Fence)
		}
		holders[o.Fence] = o.Holder
		before, ok := last[o.Replica]
		last[o.Replica] = o
		switch {
		case !ok:
		case o.Fence < before.Fence:
			j.breach(OneHolder, o.Arrived, o.Replica, "fence %d of %s after %d of %s", o.Fence, o.Holder, before.Fence, before.Holder)
		case o.Holder != before.Holder && o.Arrived.Sub(before.Arrived) < j.Bounds.Lease:
			j.breach(OneHolder, o.Arrived, o.Replica, "%s %s after %s", o.Holder, o.Arrived.Sub(before.Arrived), before.Holder)
		}
	}
}

// disturbed returns until when a trouble keeps the time of weights from counting: a
// while longer for the store's.
func (j *judge) disturbed(t Trouble) (until time.Time, ok bool) {
	switch t.Scope {
	case OfLink:
		return t.end(j.Now), true
	case OfStore:
		return t.end(j.Now).Add(j.Bounds.Contact), true
	}
	return time.Time{}, false
}

// replaced returns when weights were replaced by newer ones.
func (j *judge) replaced(weights int64) (at time.Time, ok bool) {
	for _, n := range j.Named {
		if n.Weights > weights {
			return n.Acked, true
		}
	}
	return time.Time{}, false
}

// weights checks that no request begins on weights that were replaced a bound ago,
// as far as that time was sound.
func (j *judge) weights() {
	for _, r := range j.Runs {
		a, ok := j.byID[r.ID]
		if !ok || !a.Kind.streams() {
			continue
		}
		from, ok := j.replaced(r.Weights)
		if !ok {
			continue
		}
		acked := from
		for _, t := range j.Troubles {
			if until, ok := j.disturbed(t); ok && !t.From.After(r.Begun) && until.After(from) {
				from = until
			}
		}
		if r.Begun.Sub(from) > j.Bounds.Weights && j.inTouch(a.Node, a.Sent, r.Begun) {
			j.breach(WeightsBegin, r.Begun, r.ID, "%s sent it to %s with weights %d, %s after newer ones", a.Node, r.Replica, r.Weights, r.Begun.Sub(acked))
		}
	}
}

// stretchLeast is the least sound time in a row that counts for the pool.
const stretchLeast = 2 * time.Second

// sound adds up the stretches between two times in which neither links nor the store had trouble.
func (j *judge) sound(from, to time.Time) time.Duration {
	var total time.Duration
	count := func(until time.Time) {
		if d := until.Sub(from); d >= stretchLeast {
			total += d
		}
	}
	troubles := slices.Clone(j.Troubles)
	slices.SortStableFunc(troubles, func(a, b Trouble) int { return a.From.Compare(b.From) })
	for _, t := range troubles {
		until, ok := j.disturbed(t)
		if !ok || until.Before(from) || t.From.After(to) {
			continue
		}
		count(t.From)
		from = until
	}
	count(to)
	return total
}

// pool checks that the targets get new weights.
func (j *judge) pool() {
	for _, n := range j.Named {
		var behind []string
		engines := 0
		for _, t := range j.Targets {
			if t.Service != engineName || !t.Ended.IsZero() || !t.Leaving.IsZero() {
				continue
			}
			engines++
			if t.Weights < n.Weights && j.sound(latest(n.Acked, t.Begun), j.Now) > j.Bounds.AllWeights {
				behind = append(behind, fmt.Sprintf("%s has %d", t.ID, t.Weights))
			}
		}
		if len(behind) > 1 && 10*len(behind) > engines {
			j.breach(WeightsAll, j.Now, fmt.Sprint("weights ", n.Weights), "%s", strings.Join(behind, ", "))
		}
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// unfinished reports whether a request that a node took ended without a whole answer.
func (a Attempt) unfinished() bool {
	return a.Err != "" && !a.Left && a.Node != "" && !a.Done.IsZero() && a.Done.Sub(a.Sent) < routeTime
}

// stops checks that planned stops cut nothing where nothing else went wrong.
func (j *judge) stops() {
	for _, a := range j.Attempts {
		runs := j.runsOf[a.ID]
		if !a.unfinished() || len(runs) == 0 && a.Done.Sub(a.Sent) < j.Bounds.Loss {
			continue
		}
		stopping := !j.quiet(a.Done.Add(-j.Bounds.Grace-time.Second), a.Done, func(t Trouble) bool {
			return t.Kind == Stop && t.Scope == OfNode && t.Subject == a.Node && t.From.Add(j.Bounds.Grace+time.Second).After(a.Done)
		})
		if stopping && j.unharmed(a, runs) {
			j.breach(StopsCutNone, a.Done, a.ID, "%s was stopping, %d runs: %s", a.Node, len(runs), a.Err)
		}
	}
}

// unharmed reports whether nothing but planned work touched a request.
func (j *judge) unharmed(a Attempt, runs []platformtest.Run) bool {
	return j.quiet(a.Sent.Add(-j.Bounds.Contact), a.Done, func(t Trouble) bool {
		switch t.Scope {
		case OfNode:
			return t.Subject == a.Node && (t.Kind == Pause || t.Kind == Kill)
		case OfLink, OfStore, OfOrders:
			return true
		case OfTarget:
			return len(runs) == 0 || slices.ContainsFunc(runs, func(r platformtest.Run) bool { return r.Replica == t.Subject })
		}
		return false
	})
}

// lostMost is how many requests on kept connections may get no answer.
const lostMost = 3

// kept checks that nodes in touch answer what they passed on.
func (j *judge) kept() {
	var lost []string
	var last time.Time
	for _, a := range j.Attempts {
		runs := j.runsOf[a.ID]
		if a.unfinished() && a.Status == 0 && a.Kept && len(runs) > 0 && j.inTouch(a.Node, a.Sent, a.Done) && j.unharmed(a, runs) {
			lost, last = append(lost, a.ID), a.Done
		}
	}
	if len(lost) > lostMost {
		j.breach(KeptAnswered, last, lost[0], "%d without an answer", len(lost))
	}
}

// The number of requests that may go on past their route's time, and their part of all that last so long.
const (
	overdueMost  = 7
	overdueEvery = 4
)

// late checks that requests get a final answer around their route's time.
func (j *judge) late() {
	var late []string
	var last time.Time
	long := 0
	for _, a := range j.Attempts {
		took := a.Done.Sub(a.Sent)
		if a.Node == "" || a.Done.IsZero() || took < routeTime || !j.inTouch(a.Node, a.Sent, a.Done) {
			continue
		}
		if long++; took > routeTime+j.Bounds.Answer {
			late, last = append(late, a.ID), a.Done
		}
	}
	if len(late) > overdueMost && overdueEvery*len(late) > long {
		j.breach(AnswersInTime, last, late[0], "%d of %d that lasted as long as their route allows", len(late), long)
	}
}

// What is served once all is well again: a figure of the soak's own, since in calm
// there is room for all, and the least number of calls to judge it by.
const (
	servedLeast = 0.9
	judgedLeast = 20
)

// back checks that calls are served a while after the last trouble.
func (j *judge) back() {
	if !j.Over || j.Calm.IsZero() {
		return
	}
	all, served := 0, 0
	for _, a := range j.Attempts {
		h := handle(j.Configs[len(j.Configs)-1].Config, a.Path, a.Key)
		if a.Sent.Before(j.Calm.Add(j.Bounds.Recovery)) || a.Left || h.noPath || h.noKey {
			continue
		}
		all++
		if a.Status == http.StatusOK && a.Err == "" {
			served++
		}
	}
	if all < judgedLeast || float64(served) < servedLeast*float64(all) {
		j.breach(BackInTime, j.Now, "service", "%d of %d served", served, all)
	}
}

// ends checks that no process ended by itself.
func (j *judge) ends() {
	for _, e := range j.Ends {
		j.breach(Runs, e.From, cmp.Or(e.Subject, "soak"), "%s", e.Detail)
	}
}
