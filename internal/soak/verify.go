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

// Guarantee is a property of the system that a check verifies.
type Guarantee string

// The guarantees that are checked. Logs and reports contain their values.
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
	StreamReleaseKept    Guarantee = "streams stay at their release"
	ResumedGoesOn        Guarantee = "streams that callers resume go on"
)

// Violation is one case in which a guarantee did not hold.
type Violation struct {
	Guarantee Guarantee
	At        time.Time
	// Subject is the id of the request, target or process concerned.
	Subject string
	Detail  string
}

// verifier checks a record against the guarantees.
type verifier struct {
	Record
	byID       map[string]*Attempt
	runsOf     map[string][]platformtest.Run
	targets    map[string]Target
	violations []Violation
}

// Verify returns the violations that a record shows, ordered by time.
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
		v.checkDrainingHints, v.checkLimitHints, v.checkBackoffHints, v.checkReleases, v.checkResumed,
	} {
		check()
	}
	slices.SortStableFunc(v.violations, func(a, b Violation) int { return a.At.Compare(b.At) })
	return v.violations
}

// addViolation records a violation.
func (v *verifier) addViolation(p Guarantee, at time.Time, subject, format string, args ...any) {
	v.violations = append(v.violations, Violation{p, at, subject, fmt.Sprintf(format, args...)})
}

// noFault reports whether no fault that counts accepts overlaps a span of time.
func (v *verifier) noFault(from, to time.Time, counts func(InjectedFault) bool) bool {
	return !slices.ContainsFunc(v.Faults, func(t InjectedFault) bool {
		return counts(t) && !t.From.After(to) && !t.end(v.Now).Before(from)
	})
}

// affectsLinks reports whether a fault affects a link of a node. A stall of any link counts
// as a reset of the links of all nodes.
func affectsLinks(t InjectedFault, node string) bool {
	return t.Scope == ScopeLink && (t.Subject == "" || t.Subject == node || t.Detail == string(Stall))
}

// inContact reports whether time bounds apply to a node over a span: from some time before
// the span to its end, no fault affected the node's process, its links or the store.
func (v *verifier) inContact(node string, from, to time.Time) bool {
	contact := v.Bounds.Contact
	return node != "" &&
		v.noFault(from.Add(-contact), to, func(t InjectedFault) bool {
			return t.Scope == ScopeNode && t.Subject == node || affectsLinks(t, node)
		}) &&
		v.noFault(from.Add(-2*contact), to, func(t InjectedFault) bool { return t.Scope == ScopeStore })
}

// checkAnswers checks the answers that callers received.
func (v *verifier) checkAnswers() {
	for _, a := range v.Attempts {
		switch {
		case a.Done.IsZero() || a.Status == 0:
		case a.AnswerID != "" && a.AnswerID != a.ID:
			v.addViolation(AnswerIntact, a.Done, a.ID, "received the answer to %s", a.AnswerID)
		case a.Status != http.StatusOK:
			// Failures that a target reports itself have status 500 only.
			if a.Seal != "" && a.Status != http.StatusInternalServerError {
				v.addViolation(AnswerIntact, a.Done, a.ID, "answer with status %d has a target's seal", a.Status)
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

// checkRequests checks that targets ran requests as callers sent them, and used cached parts
// only of the same weights and organisation.
func (v *verifier) checkRequests() {
	for _, r := range v.Runs {
		a, ok := v.byID[r.ID]
		if !ok {
			v.addViolation(RequestUnaltered, r.StartedAt, r.ID, "no caller sent this request")
			continue
		}
		switch {
		case r.Method != http.MethodPost, r.URI != a.Path, r.Host != hostName, r.Body != a.Body, r.Parts() != a.Parts:
			v.addViolation(RequestUnaltered, r.StartedAt, r.ID, "%s ran %s %s at %s with %d bytes", r.Replica, r.Method, r.URI, r.Host, len(r.Body))
		case r.StaleParts, r.CrossTenant:
			v.addViolation(CacheIsolated, r.StartedAt, r.ID, "used parts of other weights: %t, of another organisation: %t", r.StaleParts, r.CrossTenant)
		}
	}
}

// checkAtMostOnce checks that calls that may run only once did not run twice, and that
// those refused as not run have not run.
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

// maxOverAttempted is the number of requests that may run at more targets than their route
// allows. The route does not count attempts at targets that were lost meanwhile, and the
// record does not show which attempts those were.
const maxOverAttempted = 3

// checkAttempts checks the number of targets that ran each request.
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
		v.addViolation(AttemptsBounded, last, excess[0], "and %d further requests ran at more targets than their route allows", len(excess)-1)
	}
}

// checkDraining checks that nodes in contact send no requests to a target that began to
// drain longer than the drain bound ago.
func (v *verifier) checkDraining() {
	for _, r := range v.Runs {
		t, a := v.targets[r.Replica], v.byID[r.ID]
		if t.DrainingSince.IsZero() || a == nil || !a.Sent.After(t.DrainingSince.Add(v.Bounds.Drain)) {
			continue
		}
		storeSound := v.noFault(t.DrainingSince.Add(-v.Bounds.Contact), t.DrainingSince, func(t InjectedFault) bool { return t.Scope == ScopeStore })
		if storeSound && v.inContact(a.Node, a.Sent, r.StartedAt) {
			v.addViolation(NoWorkWhenDraining, r.StartedAt, r.ID, "%s sent it %s after %s began to drain", a.Node, a.Sent.Sub(t.DrainingSince), t.ID)
		}
	}
}

// incomplete reports whether a request that a node accepted ended without a complete answer
// although the caller did not cancel it and its route's timeout had not expired.
func (a Attempt) incomplete() bool {
	return a.Err != "" && !a.Left && a.Node != "" && !a.Done.IsZero() && a.Done.Sub(a.Sent) < routeTime
}

// checkPlannedStops checks that planned stops cut no requests that no other fault affected.
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
			v.addViolation(PlannedStopClean, a.Done, a.ID, "%s was stopping, request ran %d times: %s", a.Node, len(runs), a.Err)
		}
	}
}

// unaffected reports whether no fault other than planned steps affected a request.
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

// maxUnanswered is the number of requests on reused connections that may remain unanswered.
const maxUnanswered = 3

// checkKeepAlive checks that nodes in contact answer requests on reused connections that
// they have forwarded.
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
		v.addViolation(KeepAliveAnswered, last, unanswered[0], "%d requests without an answer", len(unanswered))
	}
}

// maxOverdue is the number of requests that may exceed their route's timeout by more than
// the slack. A larger number is accepted as long as it is at most one in overdueRatio of
// all requests that last until their route's timeout.
const (
	maxOverdue   = 7
	overdueRatio = 4
)

// checkTimeliness checks that requests end close to their route's timeout at the latest.
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
		v.addViolation(AnswersTimely, last, overdue[0], "%d of %d requests that reached their route's timeout ended late", len(overdue), reachedTimeout)
	}
}

// minServedFraction is the fraction of requests that must succeed once all faults have
// ended. It is a bound of these checks only: without faults the cluster has capacity for all
// requests. minJudgedCalls is the minimum number of requests for that check.
const (
	minServedFraction = 0.9
	minJudgedCalls    = 20
)

// checkRecovery checks that requests succeed again a recovery bound after the last fault.
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
		v.addViolation(ServiceRecovers, v.Now, "service", "%d of %d requests served", served, all)
	}
}

// checkExits checks that no process ended unexpectedly, and that no step itself failed.
func (v *verifier) checkExits() {
	for _, e := range v.Exits {
		v.addViolation(NoUnexpectedExit, e.From, cmp.Or(e.Subject, "soak"), "%s", e.Detail)
	}
}
