package soak

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pathhead/pathhead/platform/platformtest"
)

// The figures of requests that end the engines which begin to run them.
const (
	// crashParts begin the prompt of each, after which a number tells them apart.
	crashParts = "dead"
	// suspectCopyInterval is the pause between two copies, engineRestartDelay until an engine that ended is back.
	suspectCopyInterval = 120 * time.Millisecond
	engineRestartDelay  = time.Second
)

// sendSuspectCopies has copies of one request come to nodes in any order, as a caller of its own sends them.
func (s *cluster) sendSuspectCopies(ctx context.Context, step Step) {
	name := fmt.Sprintf("deadly-%d", step.At.Milliseconds())
	defer s.beginFault(InjectedFault{Scope: ScopePlanned, Kind: step.Kind, Detail: name})()
	c := newCaller(s, &balancer{cluster: s, misses: make(map[string]int)}, name)
	var copies sync.WaitGroup
	defer copies.Wait()
	for n, end := 0, time.Now().Add(step.Length); time.Now().Before(end) && ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%s.%d", name, n)
		a := Attempt{
			ID: id, Call: id, Kind: ResumeCall, Path: "/resume/" + name, Key: openKey, Body: name, Deadly: true,
			Parts: fmt.Sprintf("%s%08x:400", crashParts, step.At.Milliseconds()),
		}
		copies.Go(func() { c.attempt(c.newConns, a, callTime) })
		wait(ctx, suspectCopyInterval)
	}
}

// recordCrash ends an engine that has begun to run such a request, and starts another in its place
// unless a step that ends it does so.
func (s *cluster) crashUnderRequest(sl *slot, r *platformtest.Replica) {
	defer s.beginFault(InjectedFault{Scope: ScopeTarget, Kind: SuspectRequest, Subject: r.ID})()
	claimed := s.claim(sl)
	s.endTarget(sl, r)
	time.AfterFunc(entryTTL, r.Unlist)
	if !claimed {
		return
	}
	defer s.release(sl)
	time.Sleep(engineRestartDelay)
	s.recordError(s.startTarget(sl, s.newID(r.Service), r.Service, r.Weights(), time.Now()))
}

const (
	// crashThreshold is under how many ends a request is known to end targets, maxRunsOnceKnown how many
	// runs of it nodes in touch may begin after that was to be known.
	crashThreshold   = 3
	maxRunsOnceKnown = 3
)

// checkSuspects checks that a request under which targets ended reaches few more, once that is known.
func (v *verifier) checkSuspects() {
	crashed := make(map[string]map[string]bool)
	known := make(map[string]time.Time)
	lateRuns := make(map[string]int)
	for _, r := range v.Runs {
		a := v.byID[r.ID]
		if a == nil || !a.Deadly {
			continue
		}
		if len(crashed[r.Body]) >= crashThreshold && a.Sent.After(known[r.Body].Add(v.Bounds.Contact)) && v.inContact(a.Node, a.Sent, r.StartedAt) {
			if lateRuns[r.Body]++; lateRuns[r.Body] == maxRunsOnceKnown+1 {
				v.addViolation(SuspectsHeld, r.StartedAt, r.ID, "%d engines had ended under it %s before it was sent", len(crashed[r.Body]), a.Sent.Sub(known[r.Body]))
			}
		}
		if crashed[r.Body] == nil {
			crashed[r.Body] = make(map[string]bool)
		}
		if crashed[r.Body][r.Replica] = true; len(crashed[r.Body]) <= crashThreshold {
			known[r.Body] = r.StartedAt
		}
	}
}

// checkHeldRequests checks that no request is held back of which a copy has been answered.
func (v *verifier) checkHeldRequests() {
	answered := make(map[string]time.Time)
	for _, a := range v.Attempts {
		if at, ok := answered[a.Call]; a.Status == http.StatusOK && (!ok || a.Done.Before(at)) {
			answered[a.Call] = a.Done
		}
	}
	for _, a := range v.Attempts {
		at, ok := answered[a.Call]
		if ok && a.refusedAsSuspect() && a.Sent.After(at) {
			v.addViolation(AnsweredNotHeld, a.Done, a.ID, "a copy was answered %s before", a.Sent.Sub(at))
		}
	}
}

// refusedAsSuspect reports whether a node refused the request since it holds it back.
func (a Attempt) refusedAsSuspect() bool {
	return a.Status == http.StatusServiceUnavailable && strings.HasPrefix(a.Answer, "crashes_targets")
}
