package soak

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pathhead/pathhead/platform/platformtest"
)

// startTime is when the records of these tests begin.
var startTime = time.Unix(1_000_000, 0)

// at is a time of a record in seconds.
func at(seconds float64) time.Time {
	return startTime.Add(time.Duration(seconds * float64(time.Second)))
}

// validRecord is a record that keeps all promises: two nodes, a stream at an engine and a
// call at a plain target, sent half a minute after configuration 1 and weights 1.
func validRecord() Record {
	r := Record{
		Bounds: DefaultBounds, Start: startTime, Now: at(60),
		Configs:   []ConfigWrite{{configAt(1), at(0), at(0)}},
		Announced: []WeightsAnnouncement{{1, at(0)}},
		Targets: []Target{
			{ID: "e1", Service: engineName, Started: startTime, Weights: 1}, {ID: "e2", Service: engineName, Started: startTime, Weights: 1},
			{ID: "p1", Service: plainName, Started: startTime},
		},
	}
	add(&r, Attempt{ID: "s.0", Call: "s", Kind: StreamCall, Path: "/stream/x", Key: openKey, Parts: "aa:1"}, 30, "e1")
	add(&r, Attempt{ID: "o.0", Call: "o", Kind: OnceCall, Path: "/once/x", Key: openKey}, 31, "p1")
	add(&r, Attempt{ID: "m.0", Call: "m", Kind: SafeCall, Path: "/safe/x", Key: openKey}, 32, "p1")
	return r
}

// add adds an attempt that node a was sent at a time and a target answered well.
func add(r *Record, a Attempt, second float64, target string) {
	a.Node, a.Boot, a.Kept, a.Sent, a.Done = "a", 1, true, at(second), at(second+0.3)
	a.Status, a.Seal, a.AnswerID, a.Answer = http.StatusOK, platformtest.Seal(a.ID), a.ID, a.expectedAnswer()
	r.Attempts = append(r.Attempts, a)
	service := map[byte]string{'e': engineName, 'p': plainName, 'z': spareName}[target[0]]
	r.Runs = append(r.Runs, platformtest.Run{
		ID: a.ID, Replica: target, Service: service, Method: http.MethodPost, URI: a.Path, Host: hostName, Body: a.Body,
		Header: http.Header{"X-Prefix-Hash": {a.Parts}, "X-Tenant-Id": {expectedOutcome(configAt(1), "/once/x", a.Key).organisation}}, Weights: 1, StartedAt: at(second + 0.1),
	})
}

// order is an accepted order.
func order(target, holder string, fence, weights int64, second float64) platformtest.ReceivedOrder {
	return platformtest.ReceivedOrder{Replica: target, Holder: holder, Fence: fence, Version: weights, Status: http.StatusAccepted, Arrived: at(second), At: at(second)}
}

// injectedFault is a fault over a span of seconds.
func injectedFault(scope Scope, kind Kind, subject string, from, until float64) InjectedFault {
	return InjectedFault{Scope: scope, Kind: kind, Subject: subject, From: at(from), Until: at(until)}
}

// Every promise is seen to be broken by a record that breaks it and no other, and
// what the promises excuse is excused.
func TestVerify(t *testing.T) {
	announced := func(r *Record, second float64, more ...InjectedFault) {
		r.Announced = append(r.Announced, WeightsAnnouncement{2, at(second)})
		r.Faults = more
		r.Targets[1].Weights = 2
	}
	reconfigured := func(r *Record, acked float64) {
		r.Configs = append(r.Configs, ConfigWrite{configAt(2), at(acked), at(acked)})
	}
	cutByStop := func(r *Record, more ...InjectedFault) {
		r.Attempts[1].Status, r.Attempts[1].Err = 0, "EOF"
		r.Faults = append(more, injectedFault(ScopeNode, Stop, "a", 29, 37))
	}
	removedKeyCall := Attempt{ID: "k.0", Call: "k", Kind: SafeCall, Path: "/safe/x", Key: versionKey(1)}
	movedRouteCall := Attempt{ID: "v.0", Call: "v", Kind: SafeCall, Path: movedPath + "x", Key: openKey}
	addSuspectRuns := func(r *Record, late int) {
		for n := range 3 + late {
			second := 20 + float64(n)/10
			if n >= 3 {
				second += 5
			}
			id := fmt.Sprint("d.", n)
			add(r, Attempt{ID: id, Call: id, Kind: ResumeCall, Path: "/resume/d", Key: openKey, Parts: "dead:1", Body: "d", Deadly: true}, second, fmt.Sprint("e", 10+n))
			r.Attempts[len(r.Attempts)-1].Status, r.Attempts[len(r.Attempts)-1].Seal, r.Attempts[len(r.Attempts)-1].Answer = http.StatusBadGateway, "", ""
		}
	}
	holdCopy := func(r *Record, second float64) {
		again := r.Attempts[2]
		again.ID, again.Sent, again.Done = "m.1", at(second), at(second+0.1)
		again.Status, again.Seal, again.Answer, again.AnswerID = http.StatusServiceUnavailable, "", "crashes_targets: held", ""
		r.Attempts = append(r.Attempts, again)
	}
	// says has requests come to e1, so many a second from 20 s to 30 s, whose answers say something of it.
	sendHinted := func(r *Record, perSecond int, header, value string, shed bool) {
		for n := range 10 * perSecond {
			second := 20 + float64(n)/float64(perSecond)
			id := fmt.Sprint("w.", n)
			a := Attempt{ID: id, Call: id, Kind: ResumeCall, Path: "/resume/w", Key: openKey, Parts: "ab:1"}
			add(r, a, second, "e1")
			seen := platformtest.Arrival{ID: id, Replica: "e1", At: at(second + 0.1), Hints: http.Header{header: {value}}}
			if shed {
				seen.ShedAt = seen.At
				r.Runs = r.Runs[:len(r.Runs)-1]
				last := &r.Attempts[len(r.Attempts)-1]
				last.Status, last.Seal, last.Answer, last.AnswerID = http.StatusServiceUnavailable, "", "", ""
			}
			r.Arrivals = append(r.Arrivals, seen)
		}
	}
	pauseNode := func(r *Record, from, until float64) {
		r.Faults = append(r.Faults, injectedFault(ScopeNode, Pause, "a", from, until))
	}
	cases := map[string]struct {
		change func(r *Record)
		breaks Guarantee
	}{
		"a target that says it leaves is used on": {func(r *Record) { sendHinted(r, 1, platformtest.HintDraining, "1", false) }, DrainingHintFollowed},
		"it is used by a node that was paused":    {func(r *Record) { sendHinted(r, 1, platformtest.HintDraining, "1", false); pauseNode(r, 20.5, 30) }, ""},
		"a limit is gone over":                    {func(r *Record) { sendHinted(r, 4, platformtest.HintLimit, "1", false) }, LimitHintFollowed},
		"a limit is kept":                         {func(r *Record) { sendHinted(r, 4, platformtest.HintLimit, "4", false) }, ""},
		"a limit is gone over after a pause":      {func(r *Record) { sendHinted(r, 4, platformtest.HintLimit, "1", false); pauseNode(r, 20, 20.6) }, ""},
		"a target gets no rest":                   {func(r *Record) { sendHinted(r, 2, platformtest.HintBackoff, "3", true) }, BackoffHintFollowed},
		"a target gets its rest":                  {func(r *Record) { sendHinted(r, 2, platformtest.HintBackoff, "1", true) }, ""},
		"a target gets no rest after a pause":     {func(r *Record) { sendHinted(r, 2, platformtest.HintBackoff, "3", true); pauseNode(r, 20, 30) }, ""},
		"a request that ends targets goes on":     {func(r *Record) { addSuspectRuns(r, 4) }, SuspectsHeld},
		"a request that ends targets is known":    {func(r *Record) { addSuspectRuns(r, 3) }, ""},
		"a request that ends targets, by one cut": {func(r *Record) {
			addSuspectRuns(r, 4)
			r.Faults = []InjectedFault{injectedFault(ScopeNode, Pause, "a", 21, 26)}
		}, ""},
		"an answered request is held back":        {func(r *Record) { holdCopy(r, 33) }, AnsweredNotHeld},
		"a request is held back before an answer": {func(r *Record) { holdCopy(r, 31) }, ""},
		"all is well":                 {func(*Record) {}, ""},
		"an answer of another":        {func(r *Record) { r.Attempts[1].AnswerID = "s.0" }, AnswerIntact},
		"a half answer as whole":      {func(r *Record) { r.Attempts[1].Answer = "the" }, AnswerIntact},
		"a half answer with an error": {func(r *Record) { r.Attempts[1].Answer, r.Attempts[1].Err = "the", "EOF" }, ""},
		"an answer without a seal":    {func(r *Record) { r.Attempts[1].Seal = "" }, AnswerIntact},
		"a stream with a gap": {func(r *Record) {
			r.Attempts[0].Answer = platformtest.Event("s.0", 2)
			r.Attempts[0].Err = "EOF"
		}, StreamIntact},
		"a run that nobody sent":   {func(r *Record) { r.Runs[2].ID = "x" }, RequestUnaltered},
		"a changed body":           {func(r *Record) { r.Runs[2].Body = "x" }, RequestUnaltered},
		"another organisation":     {func(r *Record) { r.Runs[2].Header.Set("X-Tenant-Id", isolatedOrg) }, RequestUnaltered},
		"another service":          {func(r *Record) { r.Runs[2].Service = foreignName }, RequestUnaltered},
		"parts of other weights":   {func(r *Record) { r.Runs[0].StaleParts = true }, CacheIsolated},
		"a second run":             {func(r *Record) { r.Runs = append(r.Runs, r.Runs[1]) }, AtMostOnce},
		"a second run that may be": {func(r *Record) { r.Runs = append(r.Runs, r.Runs[2]) }, ""},
		"a refusal that ran":       {func(r *Record) { r.Attempts[1].Status, r.Attempts[1].Seal = 503, "" }, RefusedNotRun},
		"a refusal that may run":   {func(r *Record) { r.Attempts[2].Status, r.Attempts[2].Seal = 503, "" }, ""},
		"a target that left":       {func(r *Record) { r.Targets[2].DrainingSince = at(28) }, NoWorkWhenDraining},
		"a target that leaves":     {func(r *Record) { r.Targets[2].DrainingSince = at(30.5) }, ""},
		"a target that left unheard": {func(r *Record) {
			r.Targets[2].DrainingSince, r.Faults = at(28), []InjectedFault{injectedFault(ScopeNode, Pause, "a", 28, 30)}
		}, ""},
		"a removed route": {func(r *Record) {
			add(r, movedRouteCall, 40, "z1")
			r.Runs[3].Service = spareName
			reconfigured(r, 35)
		}, ConfigApplied},
		"a route just removed": {func(r *Record) {
			add(r, movedRouteCall, 40, "z1")
			reconfigured(r, 39)
		}, ""},
		"a removed route, cut off": {func(r *Record) {
			add(r, movedRouteCall, 40, "z1")
			reconfigured(r, 35)
			r.Faults = []InjectedFault{injectedFault(ScopeLink, StoreLink, "a", 34, 38)}
		}, ""},
		"back to an older version": {func(r *Record) {
			add(r, movedRouteCall, 40, "p1")
			reconfigured(r, 39)
			again := movedRouteCall
			again.ID, again.Call = "w.0", "w"
			add(r, again, 40.9, "z1")
		}, ConfigMonotonic},
		"a removed key": {func(r *Record) {
			add(r, removedKeyCall, 50, "p1")
			reconfigured(r, 44)
			r.Faults = []InjectedFault{injectedFault(ScopeStore, StoreFails, "", 43, 60)}
		}, KeysRevoked},
		"a key just removed": {func(r *Record) {
			add(r, removedKeyCall, 48, "p1")
			reconfigured(r, 44)
			r.Faults = []InjectedFault{injectedFault(ScopeStore, StoreFails, "", 43, 60)}
		}, ""},
		"proper requests denied": {func(r *Record) {
			for range 8 {
				a := r.Attempts[2]
				a.ID, a.AnswerID, a.Status, a.Seal = "d", "", 403, ""
				r.Attempts = append(r.Attempts, a)
			}
		}, ValidAccepted},
		"two holders with one fence": {func(r *Record) {
			r.Orders = []platformtest.ReceivedOrder{order("e1", "a", 1, 2, 20), order("e2", "b", 1, 2, 30)}
		}, SingleLeaseHolder},
		"a lower fence": {func(r *Record) {
			r.Orders = []platformtest.ReceivedOrder{order("e1", "a", 2, 2, 20), order("e1", "b", 1, 3, 30)}
		}, SingleLeaseHolder},
		"holders that take turns": {func(r *Record) {
			r.Orders = []platformtest.ReceivedOrder{order("e1", "a", 1, 2, 20), order("e1", "b", 2, 3, 22)}
		}, SingleLeaseHolder},
		"an older order after": {func(r *Record) {
			r.Orders = []platformtest.ReceivedOrder{order("e1", "a", 1, 3, 20), order("e1", "a", 1, 2, 22)}
		}, SingleLeaseHolder},
		"an order right after a pause": {func(r *Record) {
			r.Orders = []platformtest.ReceivedOrder{order("e1", "b", 2, 2, 20), order("e1", "a", 1, 3, 22)}
			r.Faults = []InjectedFault{injectedFault(ScopeNode, Pause, "a", 10, 21.9)}
		}, ""},
		"old weights":                 {func(r *Record) { announced(r, 19.5) }, WeightsCurrent},
		"weights just replaced":       {func(r *Record) { announced(r, 20.5) }, ""},
		"old weights after a pause":   {func(r *Record) { announced(r, 10, injectedFault(ScopeNode, Pause, "a", 20, 28)) }, ""},
		"old weights long after it":   {func(r *Record) { announced(r, 10, injectedFault(ScopeNode, Pause, "a", 20, 26)) }, WeightsCurrent},
		"old weights at another node": {func(r *Record) { announced(r, 10, injectedFault(ScopeNode, Kill, "b", 20, 28)) }, WeightsCurrent},
		"old weights after a cut":     {func(r *Record) { announced(r, 10, injectedFault(ScopeLink, StoreLink, "b", 20, 22)) }, ""},
		"a pool with old weights": {func(r *Record) {
			r.Announced = append(r.Announced, WeightsAnnouncement{2, at(40)})
			r.Faults = []InjectedFault{injectedFault(ScopeOrders, OrdersLate, "e1", 40, 60)}
		}, WeightsConverge},
		"a pool in time": {func(r *Record) {
			r.Announced = append(r.Announced, WeightsAnnouncement{2, at(40)})
			r.Faults = []InjectedFault{injectedFault(ScopeLink, StoreLink, "b", 45, 52)}
		}, ""},
		"a stop that cuts":          {func(r *Record) { cutByStop(r) }, PlannedStopClean},
		"a stop and a kill":         {func(r *Record) { cutByStop(r, injectedFault(ScopeNode, Kill, "a", 31, 32)) }, ""},
		"a stop and a crash":        {func(r *Record) { cutByStop(r, injectedFault(ScopeTarget, TargetCrash, "p1", 31, 32)) }, ""},
		"a stop and another crash":  {func(r *Record) { cutByStop(r, injectedFault(ScopeTarget, TargetCrash, "e1", 31, 32)) }, PlannedStopClean},
		"a stop cut its own stream": {func(r *Record) { cutByStop(r); r.Attempts[1].Left = true }, ""},
		"lost on kept connections": {func(r *Record) {
			for _, id := range []string{"1", "2", "3", "4"} {
				add(r, Attempt{ID: id, Call: id, Kind: SafeCall, Path: "/safe/x", Key: openKey}, 40, "p1")
				a := &r.Attempts[len(r.Attempts)-1]
				a.Status, a.Err = 0, "EOF"
			}
		}, KeepAliveAnswered},
		"answers long after the route's time": {func(r *Record) {
			for _, id := range []string{"1", "2", "3", "4", "5", "6", "7", "8"} {
				add(r, Attempt{ID: id, Call: id, Kind: SafeCall, Path: "/safe/x", Key: openKey}, 40, "p1")
				r.Attempts[len(r.Attempts)-1].Done = at(44)
			}
		}, AnswersTimely},
		"no service at the end": {func(r *Record) { r.FaultsEnded, r.Finished = at(40), true }, ServiceRecovers},
		"a process that ended":  {func(r *Record) { r.Exits = []InjectedFault{{Subject: "a", From: at(3)}} }, NoUnexpectedExit},
		"sent too often": {func(r *Record) {
			for _, id := range []string{"1", "2", "3", "4"} {
				add(r, Attempt{ID: id, Call: id, Kind: SafeCall, Path: "/safe/x", Key: openKey}, 40, "p1")
				last := r.Runs[len(r.Runs)-1]
				r.Runs = append(r.Runs, last, last)
			}
		}, AttemptsBounded},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := validRecord()
			c.change(&r)
			var broken []Guarantee
			for _, b := range Verify(r) {
				broken = append(broken, b.Guarantee)
			}
			if c.breaks == "" {
				require.Empty(t, broken, "%v", Verify(r))
				return
			}
			require.NotEmpty(t, broken)
			for _, p := range broken {
				require.Equal(t, c.breaks, p, "%v", Verify(r))
			}
		})
	}
}
