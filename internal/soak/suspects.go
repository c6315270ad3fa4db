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

// The parameters of suspect requests, which crash each engine that begins to run them.
const (
	// crashParts is the prefix of their prompts. A number that distinguishes the requests
	// follows it.
	crashParts = "dead"
	// suspectCopyInterval is the pause between two copies of a request. engineRestartDelay
	// is the time until a crashed engine starts again.
	suspectCopyInterval = 120 * time.Millisecond
	engineRestartDelay  = time.Second
)

// sendSuspectCopies sends copies of one suspect request to random nodes, as a separate caller would.
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

// crashUnderRequest crashes an engine that has begun to run a suspect request, and starts
// a replacement unless a step that has claimed the slot does so.
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
	// crashThreshold is the number of crashes after which nodes must treat a request as a
	// suspect. maxRunsOnceKnown is the number of further runs that nodes in contact may
	// begin after that has had time to reach them.
	crashThreshold   = 3
	maxRunsOnceKnown = 3
)

// checkSuspects checks that a request that has crashed crashThreshold targets reaches few
// further ones once the nodes have had time to learn of it.
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
				v.addViolation(SuspectsHeld, r.StartedAt, r.ID, "%d engines had crashed running it %s before it was sent", len(crashed[r.Body]), a.Sent.Sub(known[r.Body]))
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

// checkHeldRequests checks that no request is refused as a suspect after a copy of it was answered.
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

// refusedAsSuspect reports whether a node refused the request because it is a suspect.
func (a Attempt) refusedAsSuspect() bool {
	return a.Status == http.StatusServiceUnavailable && strings.HasPrefix(a.Answer, "crashes_targets")
}
