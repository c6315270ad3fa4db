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
	// deadlyParts begin the prompt of each, after which a number tells them apart.
	deadlyParts = "dead"
	// deadlyEvery is the pause between two copies, backTime until an engine that ended is back.
	deadlyEvery = 120 * time.Millisecond
	backTime    = time.Second
)

// sendDeadly has copies of one request come to nodes in any order, as a caller of its own sends them.
func (s *site) sendDeadly(ctx context.Context, step Step) {
	name := fmt.Sprintf("deadly-%d", step.At.Milliseconds())
	defer s.begin(Trouble{Scope: OfPlan, Kind: step.Kind, Detail: name})()
	c := newCaller(s, &balancer{site: s, missed: make(map[string]int)}, name)
	var copies sync.WaitGroup
	defer copies.Wait()
	for n, end := 0, time.Now().Add(step.Length); time.Now().Before(end) && ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%s.%d", name, n)
		a := Attempt{
			ID: id, Call: id, Kind: ResumeCall, Path: "/resume/" + name, Key: openKey, Body: name, Deadly: true,
			Parts: fmt.Sprintf("%s%08x:400", deadlyParts, step.At.Milliseconds()),
		}
		copies.Go(func() { c.attempt(c.anew, a, callTime) })
		wait(ctx, deadlyEvery)
	}
}

// recordCrash ends an engine that has begun to run such a request, and starts another in its place
// unless a step that ends it does so.
func (s *site) endUnder(sl *slot, r *platformtest.Replica) {
	defer s.begin(Trouble{Scope: OfTarget, Kind: RequestDeadly, Subject: r.ID})()
	mine := s.claim(sl)
	s.end(sl, r)
	time.AfterFunc(lapseTime, r.Unlist)
	if !mine {
		return
	}
	defer s.release(sl)
	time.Sleep(backTime)
	s.must(s.startTarget(sl, s.newID(r.Service), r.Service, r.Weights(), time.Now()))
}

const (
	// deadlyEnds is under how many ends a request is known to end targets, deadlyMost how many
	// runs of it nodes in touch may begin after that was to be known.
	deadlyEnds = 3
	deadlyMost = 3
)

// deadly checks that a request under which targets ended reaches few more, once that is known.
func (j *judge) deadly() {
	ended := make(map[string]map[string]bool)
	known := make(map[string]time.Time)
	late := make(map[string]int)
	for _, r := range j.Runs {
		a := j.byID[r.ID]
		if a == nil || !a.Deadly {
			continue
		}
		if len(ended[r.Body]) >= deadlyEnds && a.Sent.After(known[r.Body].Add(j.Bounds.Contact)) && j.inTouch(a.Node, a.Sent, r.StartedAt) {
			if late[r.Body]++; late[r.Body] == deadlyMost+1 {
				j.breach(HeldBack, r.StartedAt, r.ID, "%d engines had ended under it %s before it was sent", len(ended[r.Body]), a.Sent.Sub(known[r.Body]))
			}
		}
		if ended[r.Body] == nil {
			ended[r.Body] = make(map[string]bool)
		}
		if ended[r.Body][r.Replica] = true; len(ended[r.Body]) <= deadlyEnds {
			known[r.Body] = r.StartedAt
		}
	}
}

// heldRightly checks that no request is held back of which a copy has been answered.
func (j *judge) heldRightly() {
	answered := make(map[string]time.Time)
	for _, a := range j.Attempts {
		if at, ok := answered[a.Call]; a.Status == http.StatusOK && (!ok || a.Done.Before(at)) {
			answered[a.Call] = a.Done
		}
	}
	for _, a := range j.Attempts {
		at, ok := answered[a.Call]
		if ok && a.heldBack() && a.Sent.After(at) {
			j.breach(HeldRightly, a.Done, a.ID, "a copy was answered %s before", a.Sent.Sub(at))
		}
	}
}

// heldBack reports whether a node refused the request since it holds it back.
func (a Attempt) heldBack() bool {
	return a.Status == http.StatusServiceUnavailable && strings.HasPrefix(a.Answer, "crashes_targets")
}
