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

// Guarantee is a promise of the system that a check is for.
type Guarantee string

// The promises that are checked.
const (
	AnswerIntact         Guarantee = "own whole answer"
	StreamIntact         Guarantee = "whole stream in order"
	RequestUnaltered     Guarantee = "runs as it was sent"
	AtMostOnce           Guarantee = "runs once"
	RefusedNotRun        Guarantee = "refusals are true"
	AttemptsBounded      Guarantee = "attempts of the route"
	CacheIsolated        Guarantee = "parts of own weights and organisation"
	ConfigApplied        Guarantee = "configuration in time"
	ConfigMonotonic      Guarantee = "configuration never back"
	KeysRevoked          Guarantee = "removed keys are gone"
	ValidAccepted        Guarantee = "proper requests are not denied"
	NoWorkWhenDraining   Guarantee = "leaving targets get no work"
	SingleLeaseHolder    Guarantee = "one holder of orders"
	WeightsCurrent       Guarantee = "weights in time"
	WeightsConverge      Guarantee = "all targets on the newest weights"
	PlannedStopClean     Guarantee = "planned stops cut nothing"
	KeepAliveAnswered    Guarantee = "kept connections are answered"
	AnswersTimely        Guarantee = "answers within the route's time"
	ServiceRecovers      Guarantee = "service is back"
	NoUnexpectedExit     Guarantee = "processes keep running"
	SuspectsHeld         Guarantee = "requests that end targets are held back"
	AnsweredNotHeld      Guarantee = "answered requests are not held back"
	DrainingHintFollowed Guarantee = "targets whose answers say that they leave get no work"
	LimitHintFollowed    Guarantee = "targets get no more than the limit that they name"
	BackoffHintFollowed  Guarantee = "targets that ask for rest get it"
)

// Violation is a promise that was not kept.
type Violation struct {
	Guarantee Guarantee
	At        time.Time
	// Subject is the request, target or process.
	Subject string
	Detail  string
}

// verifier holds a record against the promises.
type verifier struct {
	Record
	byID       map[string]*Attempt
	runsOf     map[string][]platformtest.Run
	targets    map[string]Target
	violations []Violation
}

// Verify returns the promises that a record breaks, in the order of time.
func Verify(r Record) []Violation {
	v := &verifier{Record: r, byID: make(map[string]*Attempt), runsOf: make(map[string][]platformtest.Run), targets: make(map[string]Target)}
	for i := range r.Attempts {
		v.byID[r.Attempts[i].ID] = &r.Attempts[i]
	}
	for _, run := range r.Runs {
		v.runsOf[run.ID] = append(v.runsOf[run.ID], run)
	}
	for _, t := range r.Targets {
		v.targets[t.ID] = t
	}
	for _, check := range []func(){
		v.checkAnswers, v.checkRequests, v.checkAtMostOnce, v.checkAttempts, v.checkConfigs, v.checkDenied, v.checkDraining, v.checkOrders, v.checkWeights, v.checkConvergence,
		v.checkPlannedStops, v.checkKeepAlive, v.checkTimeliness, v.checkRecovery, v.checkExits, v.checkSuspects, v.checkHeldRequests,
		v.checkDrainingHints, v.checkLimitHints, v.checkBackoffHints,
	} {
		check()
	}
	slices.SortStableFunc(v.violations, func(a, b Violation) int { return a.At.Compare(b.At) })
	return v.violations
}

func (v *verifier) addViolation(p Guarantee, at time.Time, subject, format string, args ...any) {
	v.violations = append(v.violations, Violation{p, at, subject, fmt.Sprintf(format, args...)})
}

// noFault reports whether no trouble that counts touches a span of time.
func (v *verifier) noFault(from, to time.Time, counts func(InjectedFault) bool) bool {
	return !slices.ContainsFunc(v.Faults, func(t InjectedFault) bool {
		return counts(t) && !t.From.After(to) && !t.end(v.Now).Before(from)
	})
}

// affectsLinks reports whether a trouble is one of a node's links. Connections that fall
// silent count as a reset of those of all nodes.
func affectsLinks(t InjectedFault, node string) bool {
	return t.Scope == ScopeLink && (t.Subject == "" || t.Subject == node || t.Detail == string(Stall))
}

// inContact reports whether a node is held to bounds of time over a span: its
// process ran, its links and the store were sound, from some time before it.
func (v *verifier) inContact(node string, from, to time.Time) bool {
	contact := v.Bounds.Contact
	return node != "" &&
		v.noFault(from.Add(-contact), to, func(t InjectedFault) bool {
			return t.Scope == ScopeNode && t.Subject == node || affectsLinks(t, node)
		}) &&
		v.noFault(from.Add(-2*contact), to, func(t InjectedFault) bool { return t.Scope == ScopeStore })
}

// checkAnswers checks what callers got.
func (v *verifier) checkAnswers() {
	for _, a := range v.Attempts {
		switch {
		case a.Done.IsZero() || a.Status == 0:
		case a.AnswerID != "" && a.AnswerID != a.ID:
			v.addViolation(AnswerIntact, a.Done, a.ID, "the answer is to %s", a.AnswerID)
		case a.Status != http.StatusOK:
			// A target's own failures have no other status.
			if a.Seal != "" && a.Status != http.StatusInternalServerError {
				v.addViolation(AnswerIntact, a.Done, a.ID, "a target's seal on status %d", a.Status)
			}
		case a.Seal != platformtest.Seal(a.ID):
			v.addViolation(AnswerIntact, a.Done, a.ID, "the seal is %q", a.Seal)
		case !strings.HasPrefix(a.expectedAnswer(), a.Answer) || a.Err == "" && a.Answer != a.expectedAnswer():
			p := AnswerIntact
			if a.Kind.streams() {
				p = StreamIntact
			}
			v.addViolation(p, a.Done, a.ID, "got %q, error %q", a.Answer, a.Err)
		}
	}
}

// checkRequests checks that runs are as callers sent them.
func (v *verifier) checkRequests() {
	for _, r := range v.Runs {
		a, ok := v.byID[r.ID]
		if !ok {
			v.addViolation(RequestUnaltered, r.StartedAt, r.ID, "no caller sent it")
			continue
		}
		switch {
		case r.Method != http.MethodPost, r.URI != a.Path, r.Host != hostName, r.Body != a.Body, r.Parts() != a.Parts:
			v.addViolation(RequestUnaltered, r.StartedAt, r.ID, "%s ran %s %s at %s with %d bytes", r.Replica, r.Method, r.URI, r.Host, len(r.Body))
		case r.StaleParts, r.CrossTenant:
			v.addViolation(CacheIsolated, r.StartedAt, r.ID, "parts of other weights: %t, of another organisation: %t", r.StaleParts, r.CrossTenant)
		}
	}
}

// checkAtMostOnce checks that what may run once did, and that refusals of it are true.
func (v *verifier) checkAtMostOnce() {
	calls := make(map[string]int)
	for _, a := range v.Attempts {
		if !a.Kind.atMostOnce() {
			continue
		}
		runs := v.runsOf[a.ID]
		if calls[a.Call] += len(runs); len(runs) > 0 && calls[a.Call] > 1 {
			v.addViolation(AtMostOnce, runs[len(runs)-1].StartedAt, a.ID, "%d runs of the call", calls[a.Call])
		}
		if a.refusedNotRun() && a.Seal == "" && len(runs) > 0 {
			v.addViolation(RefusedNotRun, runs[0].StartedAt, a.ID, "refused with %d, ran at %s", a.Status, runs[0].Replica)
		}
	}
}

// maxOverAttempted is how many requests may run at more targets than their route allows:
// targets that were lost meanwhile don't count, which is not told apart here.
const maxOverAttempted = 3

// checkAttempts checks how many targets ran a request.
func (v *verifier) checkAttempts() {
	var excess []string
	var last time.Time
	for id, runs := range v.runsOf {
		a, ok := v.byID[id]
		most := map[CallKind]int{ResumeCall: 3, SafeCall: 2}
		if ok && len(runs) > max(1, most[a.Kind]) {
			excess, last = append(excess, id), runs[len(runs)-1].StartedAt
		}
	}
	if len(excess) > maxOverAttempted {
		slices.Sort(excess)
		v.addViolation(AttemptsBounded, last, excess[0], "and %d more", len(excess)-1)
	}
}

// checkDraining checks that targets get no work a while after they said that they leave.
func (v *verifier) checkDraining() {
	for _, r := range v.Runs {
		t, a := v.targets[r.Replica], v.byID[r.ID]
		if t.DrainingSince.IsZero() || a == nil || !a.Sent.After(t.DrainingSince.Add(v.Bounds.Drain)) {
			continue
		}
		storeSound := v.noFault(t.DrainingSince.Add(-v.Bounds.Contact), t.DrainingSince, func(t InjectedFault) bool { return t.Scope == ScopeStore })
		if storeSound && v.inContact(a.Node, a.Sent, r.StartedAt) {
			v.addViolation(NoWorkWhenDraining, r.StartedAt, r.ID, "%s sent it %s after %s said that it leaves", a.Node, a.Sent.Sub(t.DrainingSince), t.ID)
		}
	}
}

// incomplete reports whether a request that a node took ended without a whole answer.
func (a Attempt) incomplete() bool {
	return a.Err != "" && !a.Left && a.Node != "" && !a.Done.IsZero() && a.Done.Sub(a.Sent) < routeTime
}

// checkPlannedStops checks that planned stops cut nothing where nothing else went wrong.
func (v *verifier) checkPlannedStops() {
	for _, a := range v.Attempts {
		runs := v.runsOf[a.ID]
		if !a.incomplete() || len(runs) == 0 && a.Done.Sub(a.Sent) < v.Bounds.CloseRace {
			continue
		}
		stopping := !v.noFault(a.Done.Add(-v.Bounds.Grace-time.Second), a.Done, func(t InjectedFault) bool {
			return t.Kind == Stop && t.Scope == ScopeNode && t.Subject == a.Node && t.From.Add(v.Bounds.Grace+time.Second).After(a.Done)
		})
		if stopping && v.unaffected(a, runs) {
			v.addViolation(PlannedStopClean, a.Done, a.ID, "%s was stopping, %d runs: %s", a.Node, len(runs), a.Err)
		}
	}
}

// unaffected reports whether nothing but planned work touched a request.
func (v *verifier) unaffected(a Attempt, runs []platformtest.Run) bool {
	return v.noFault(a.Sent.Add(-v.Bounds.Contact), a.Done, func(t InjectedFault) bool {
		switch t.Scope {
		case ScopeNode:
			return t.Subject == a.Node && (t.Kind == Pause || t.Kind == Kill)
		case ScopeLink, ScopeStore, ScopeOrders:
			return true
		case ScopeTarget:
			return len(runs) == 0 || slices.ContainsFunc(runs, func(r platformtest.Run) bool { return r.Replica == t.Subject })
		}
		return false
	})
}

// maxUnanswered is how many requests on kept connections may get no answer.
const maxUnanswered = 3

// checkKeepAlive checks that nodes in touch answer what they passed on.
func (v *verifier) checkKeepAlive() {
	var unanswered []string
	var last time.Time
	for _, a := range v.Attempts {
		runs := v.runsOf[a.ID]
		if a.incomplete() && a.Status == 0 && a.Kept && len(runs) > 0 && v.inContact(a.Node, a.Sent, a.Done) && v.unaffected(a, runs) {
			unanswered, last = append(unanswered, a.ID), a.Done
		}
	}
	if len(unanswered) > maxUnanswered {
		v.addViolation(KeepAliveAnswered, last, unanswered[0], "%d without an answer", len(unanswered))
	}
}

// The number of requests that may go on past their route's time, and their part of all that last so long.
const (
	maxOverdue   = 7
	overdueRatio = 4
)

// checkTimeliness checks that requests get a final answer around their route's time.
func (v *verifier) checkTimeliness() {
	var overdue []string
	var last time.Time
	reachedTimeout := 0
	for _, a := range v.Attempts {
		took := a.Done.Sub(a.Sent)
		if a.Node == "" || a.Done.IsZero() || took < routeTime || !v.inContact(a.Node, a.Sent, a.Done) {
			continue
		}
		if reachedTimeout++; took > routeTime+v.Bounds.AnswerSlack {
			overdue, last = append(overdue, a.ID), a.Done
		}
	}
	if len(overdue) > maxOverdue && overdueRatio*len(overdue) > reachedTimeout {
		v.addViolation(AnswersTimely, last, overdue[0], "%d of %d that lasted as long as their route allows", len(overdue), reachedTimeout)
	}
}

// What is served once all is well again: a figure of the soak's own, since in calm
// there is room for all, and the least number of calls to judge it by.
const (
	minServedFraction = 0.9
	minJudgedCalls    = 20
)

// checkRecovery checks that calls are served a while after the last trouble.
func (v *verifier) checkRecovery() {
	if !v.Finished || v.FaultsEnded.IsZero() {
		return
	}
	all, served := 0, 0
	for _, a := range v.Attempts {
		h := expectedOutcome(v.Configs[len(v.Configs)-1].Config, a.Path, a.Key)
		if a.Sent.Before(v.FaultsEnded.Add(v.Bounds.Recovery)) || a.Left || h.noPath || h.noKey {
			continue
		}
		all++
		if a.Status == http.StatusOK && a.Err == "" {
			served++
		}
	}
	if all < minJudgedCalls || float64(served) < minServedFraction*float64(all) {
		v.addViolation(ServiceRecovers, v.Now, "service", "%d of %d served", served, all)
	}
}

// checkExits checks that no process ended by itself.
func (v *verifier) checkExits() {
	for _, e := range v.Exits {
		v.addViolation(NoUnexpectedExit, e.From, cmp.Or(e.Subject, "soak"), "%s", e.Detail)
	}
}
