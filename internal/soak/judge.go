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
	HeldBack      Promise = "requests that end targets are held back"
	HeldRightly   Promise = "answered requests are not held back"
	ToldLeaving   Promise = "targets whose answers say that they leave get no work"
	LimitKept     Promise = "targets get no more than the limit that they name"
	RestKept      Promise = "targets that ask for rest get it"
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
		j.stops, j.kept, j.late, j.back, j.ends, j.deadly, j.heldRightly,
		j.leavingTold, j.limits, j.rests,
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
			j.breach(AsSent, r.StartedAt, r.ID, "no caller sent it")
			continue
		}
		switch {
		case r.Method != http.MethodPost, r.URI != a.Path, r.Host != hostName, r.Body != a.Body, r.Parts() != a.Parts:
			j.breach(AsSent, r.StartedAt, r.ID, "%s ran %s %s at %s with %d bytes", r.Replica, r.Method, r.URI, r.Host, len(r.Body))
		case r.StaleParts, r.CrossTenant:
			j.breach(OwnParts, r.StartedAt, r.ID, "parts of other weights: %t, of another organisation: %t", r.StaleParts, r.CrossTenant)
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
			j.breach(OnceOnly, runs[len(runs)-1].StartedAt, a.ID, "%d runs of the call", calls[a.Call])
		}
		if a.promised() && a.Seal == "" && len(runs) > 0 {
			j.breach(TrueRefusal, runs[0].StartedAt, a.ID, "refused with %d, ran at %s", a.Status, runs[0].Replica)
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
			over, last = append(over, id), runs[len(runs)-1].StartedAt
		}
	}
	if len(over) > sendsMost {
		slices.Sort(over)
		j.breach(FewSends, last, over[0], "and %d more", len(over)-1)
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
		if told && j.inTouch(a.Node, a.Sent, r.StartedAt) {
			j.breach(LeftAlone, r.StartedAt, r.ID, "%s sent it %s after %s said that it leaves", a.Node, a.Sent.Sub(t.Leaving), t.ID)
		}
	}
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
