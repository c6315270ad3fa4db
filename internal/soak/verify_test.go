package soak

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pathhead/pathhead/platform/platformtest"
)

// startTime is the start of the records in these tests.
var startTime = time.Unix(1_000_000, 0)

// at returns the time that is some seconds after the start of a record.
func at(seconds float64) time.Time {
	return startTime.Add(time.Duration(seconds * float64(time.Second)))
}

// validRecord returns a record without violations: a stream at one of two engines and two calls
// at a plain target, sent half a minute after configuration 1 and weights 1.
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

// add adds an attempt that was sent to node a at a time and that a target answered correctly.
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

// order returns an accepted order.
func order(target, holder string, fence, weights int64, second float64) platformtest.ReceivedOrder {
	return platformtest.ReceivedOrder{Replica: target, Holder: holder, Fence: fence, Version: weights, Status: http.StatusAccepted, Arrived: at(second), At: at(second)}
}

// injectedFault returns a fault that lasted for a span of seconds.
func injectedFault(scope Scope, kind Kind, subject string, from, until float64) InjectedFault {
	return InjectedFault{Scope: scope, Kind: kind, Subject: subject, From: at(from), Until: at(until)}
}

// For every guarantee, Verify finds the violation in a record that violates that guarantee only,
// and finds none in records that the guarantees permit.
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
	// sendHinted adds requests to e1, perSecond of them each second from 20 s to 30 s, whose
	// answers have the header. With shed, the target refuses them.
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
	// resumeSome adds 12 streams of release v1, all of which their callers resume, and some of which go on.
	resumeSome := func(r *Record, goOn int) {
		for n := range 12 {
			id := fmt.Sprint("t", n)
			a := Attempt{ID: id + ".0", Call: id, Kind: ResumeCall, Path: "/resume/t", Key: openKey, Parts: "ab:1"}
			add(r, a, 40, []string{"e1", "e2"}[n%2])
			r.Runs[len(r.Runs)-1].Release, r.Runs[len(r.Runs)-1].Events = "v1", 2
			a.ID, a.Resumes, a.LastEvent = id+".1", a.ID, 2
			add(r, a, 41, "e1")
			r.Runs[len(r.Runs)-1].Release, r.Runs[len(r.Runs)-1].Resumed, r.Runs[len(r.Runs)-1].Events = "v1", "2", 3
			if n >= goOn {
				last := &r.Attempts[len(r.Attempts)-1]
				last.Status, last.Seal, last.Answer, last.AnswerID = http.StatusServiceUnavailable, "", "", ""
				r.Runs = r.Runs[:len(r.Runs)-1]
			}
		}
	}
	// addResumed adds a stream of which two events came from release v1, and whose next run is one of an
	// attempt at a release.
	addResumed := func(r *Record, id, release string) {
		a := Attempt{ID: "v.0", Call: "v", Kind: ResumeCall, Path: "/resume/v", Key: openKey, Parts: "ab:1"}
		add(r, a, 40, "e1")
		r.Runs[len(r.Runs)-1].Release, r.Runs[len(r.Runs)-1].Events = "v1", 2
		a.ID = id
		if id != "v.0" {
			r.Attempts[len(r.Attempts)-1].Answer, r.Attempts[len(r.Attempts)-1].Err = platformtest.Event("v.0", 1)+platformtest.Event("v.0", 2), "EOF"
			a.Resumes, a.LastEvent = "v.0", 2
		}
		attempts := len(r.Attempts)
		add(r, a, 41, "e2")
		if id == "v.0" {
			r.Attempts = r.Attempts[:attempts]
		}
		last := &r.Runs[len(r.Runs)-1]
		last.Release, last.Events, last.Resumed = release, streamEvents-2, "2"
	}
	pauseNode := func(r *Record, from, until float64) {
		r.Faults = append(r.Faults, injectedFault(ScopeNode, Pause, "a", from, until))
	}
	cases := map[string]struct {
		change   func(r *Record)
		violates Guarantee
	}{
		"requests to a target that hints draining":                   {func(r *Record) { sendHinted(r, 1, platformtest.HintDraining, "1", false) }, DrainingHintFollowed},
		"requests to a target that hints draining, by a paused node": {func(r *Record) { sendHinted(r, 1, platformtest.HintDraining, "1", false); pauseNode(r, 20.5, 30) }, ""},
		"hinted limit exceeded":                                      {func(r *Record) { sendHinted(r, 4, platformtest.HintLimit, "1", false) }, LimitHintFollowed},
		"hinted limit kept":                                          {func(r *Record) { sendHinted(r, 4, platformtest.HintLimit, "4", false) }, ""},
		"hinted limit exceeded after a pause":                        {func(r *Record) { sendHinted(r, 4, platformtest.HintLimit, "1", false); pauseNode(r, 20, 20.6) }, ""},
		"requests during a back-off":                                 {func(r *Record) { sendHinted(r, 2, platformtest.HintBackoff, "3", true) }, BackoffHintFollowed},
		"back-off followed":                                          {func(r *Record) { sendHinted(r, 2, platformtest.HintBackoff, "1", true) }, ""},
		"requests during a back-off after a pause":                   {func(r *Record) { sendHinted(r, 2, platformtest.HintBackoff, "3", true); pauseNode(r, 20, 30) }, ""},
		"suspect request sent on":                                    {func(r *Record) { addSuspectRuns(r, 4) }, SuspectsHeld},
		"suspect request held in time":                               {func(r *Record) { addSuspectRuns(r, 3) }, ""},
		"suspect request sent on by a paused node": {func(r *Record) {
			addSuspectRuns(r, 4)
			r.Faults = []InjectedFault{injectedFault(ScopeNode, Pause, "a", 21, 26)}
		}, ""},
		"answered request held as suspect":    {func(r *Record) { holdCopy(r, 33) }, AnsweredNotHeld},
		"request held before it was answered": {func(r *Record) { holdCopy(r, 31) }, ""},
		"no violation":                        {func(*Record) {}, ""},
		"answer to another request":           {func(r *Record) { r.Attempts[1].AnswerID = "s.0" }, AnswerIntact},
		"partial answer without an error":     {func(r *Record) { r.Attempts[1].Answer = "the" }, AnswerIntact},
		"partial answer with an error":        {func(r *Record) { r.Attempts[1].Answer, r.Attempts[1].Err = "the", "EOF" }, ""},
		"answer without a seal":               {func(r *Record) { r.Attempts[1].Seal = "" }, AnswerIntact},
		"stream with a gap": {func(r *Record) {
			r.Attempts[0].Answer = platformtest.Event("s.0", 2)
			r.Attempts[0].Err = "EOF"
		}, StreamIntact},
		"run of a request that no caller sent":           {func(r *Record) { r.Runs[2].ID = "x" }, RequestUnaltered},
		"modified body":                                  {func(r *Record) { r.Runs[2].Body = "x" }, RequestUnaltered},
		"wrong organisation":                             {func(r *Record) { r.Runs[2].Header.Set("X-Tenant-Id", isolatedOrg) }, RequestUnaltered},
		"wrong service":                                  {func(r *Record) { r.Runs[2].Service = foreignName }, RequestUnaltered},
		"cached parts of other weights":                  {func(r *Record) { r.Runs[0].StaleParts = true }, CacheIsolated},
		"second run of an at-most-once call":             {func(r *Record) { r.Runs = append(r.Runs, r.Runs[1]) }, AtMostOnce},
		"second run of an idempotent call":               {func(r *Record) { r.Runs = append(r.Runs, r.Runs[2]) }, ""},
		"run of an at-most-once call refused as not run": {func(r *Record) { r.Attempts[1].Status, r.Attempts[1].Seal = 503, "" }, RefusedNotRun},
		"run of an idempotent call refused as not run":   {func(r *Record) { r.Attempts[2].Status, r.Attempts[2].Seal = 503, "" }, ""},
		"request to a draining target":                   {func(r *Record) { r.Targets[2].DrainingSince = at(28) }, NoWorkWhenDraining},
		"request to a target that just began to drain":   {func(r *Record) { r.Targets[2].DrainingSince = at(30.5) }, ""},
		"request to a draining target by a paused node": {func(r *Record) {
			r.Targets[2].DrainingSince, r.Faults = at(28), []InjectedFault{injectedFault(ScopeNode, Pause, "a", 28, 30)}
		}, ""},
		"removed route used": {func(r *Record) {
			add(r, movedRouteCall, 40, "z1")
			r.Runs[3].Service = spareName
			reconfigured(r, 35)
		}, ConfigApplied},
		"route used right after its removal": {func(r *Record) {
			add(r, movedRouteCall, 40, "z1")
			reconfigured(r, 39)
		}, ""},
		"removed route used by a disconnected node": {func(r *Record) {
			add(r, movedRouteCall, 40, "z1")
			reconfigured(r, 35)
			r.Faults = []InjectedFault{injectedFault(ScopeLink, StoreLink, "a", 34, 38)}
		}, ""},
		"older version used after a newer one": {func(r *Record) {
			add(r, movedRouteCall, 40, "p1")
			reconfigured(r, 39)
			again := movedRouteCall
			again.ID, again.Call = "w.0", "w"
			add(r, again, 40.9, "z1")
		}, ConfigMonotonic},
		"revoked key accepted": {func(r *Record) {
			add(r, removedKeyCall, 50, "p1")
			reconfigured(r, 44)
			r.Faults = []InjectedFault{injectedFault(ScopeStore, StoreFails, "", 43, 60)}
		}, KeysRevoked},
		"key accepted right after its removal": {func(r *Record) {
			add(r, removedKeyCall, 48, "p1")
			reconfigured(r, 44)
			r.Faults = []InjectedFault{injectedFault(ScopeStore, StoreFails, "", 43, 60)}
		}, ""},
		"valid requests rejected": {func(r *Record) {
			for range 8 {
				a := r.Attempts[2]
				a.ID, a.AnswerID, a.Status, a.Seal = "d", "", 403, ""
				r.Attempts = append(r.Attempts, a)
			}
		}, ValidAccepted},
		"two holders with the same fence": {func(r *Record) {
			r.Orders = []platformtest.ReceivedOrder{order("e1", "a", 1, 2, 20), order("e2", "b", 1, 2, 30)}
		}, SingleLeaseHolder},
		"lower fence after a higher one": {func(r *Record) {
			r.Orders = []platformtest.ReceivedOrder{order("e1", "a", 2, 2, 20), order("e1", "b", 1, 3, 30)}
		}, SingleLeaseHolder},
		"two holders within one lease term": {func(r *Record) {
			r.Orders = []platformtest.ReceivedOrder{order("e1", "a", 1, 2, 20), order("e1", "b", 2, 3, 22)}
		}, SingleLeaseHolder},
		"older order after a newer one": {func(r *Record) {
			r.Orders = []platformtest.ReceivedOrder{order("e1", "a", 1, 3, 20), order("e1", "a", 1, 2, 22)}
		}, SingleLeaseHolder},
		"order right after a pause": {func(r *Record) {
			r.Orders = []platformtest.ReceivedOrder{order("e1", "b", 2, 2, 20), order("e1", "a", 1, 3, 22)}
			r.Faults = []InjectedFault{injectedFault(ScopeNode, Pause, "a", 10, 21.9)}
		}, ""},
		"replaced weights used":                            {func(r *Record) { announced(r, 19.5) }, WeightsCurrent},
		"weights used right after their replacement":       {func(r *Record) { announced(r, 20.5) }, ""},
		"replaced weights used right after a pause":        {func(r *Record) { announced(r, 10, injectedFault(ScopeNode, Pause, "a", 20, 28)) }, ""},
		"replaced weights used long after a pause":         {func(r *Record) { announced(r, 10, injectedFault(ScopeNode, Pause, "a", 20, 26)) }, WeightsCurrent},
		"replaced weights used while another node is down": {func(r *Record) { announced(r, 10, injectedFault(ScopeNode, Kill, "b", 20, 28)) }, WeightsCurrent},
		"replaced weights used after a link fault":         {func(r *Record) { announced(r, 10, injectedFault(ScopeLink, StoreLink, "b", 20, 22)) }, ""},
		"engines without the newest weights": {func(r *Record) {
			r.Announced = append(r.Announced, WeightsAnnouncement{2, at(40)})
			r.Faults = []InjectedFault{injectedFault(ScopeOrders, OrdersLate, "e1", 40, 60)}
		}, WeightsConverge},
		"engines without the newest weights after a link fault": {func(r *Record) {
			r.Announced = append(r.Announced, WeightsAnnouncement{2, at(40)})
			r.Faults = []InjectedFault{injectedFault(ScopeLink, StoreLink, "b", 45, 52)}
		}, ""},
		"planned stop cuts a request":                          {func(r *Record) { cutByStop(r) }, PlannedStopClean},
		"planned stop and a kill":                              {func(r *Record) { cutByStop(r, injectedFault(ScopeNode, Kill, "a", 31, 32)) }, ""},
		"planned stop and a crash of the target":               {func(r *Record) { cutByStop(r, injectedFault(ScopeTarget, TargetCrash, "p1", 31, 32)) }, ""},
		"planned stop and a crash of another target":           {func(r *Record) { cutByStop(r, injectedFault(ScopeTarget, TargetCrash, "e1", 31, 32)) }, PlannedStopClean},
		"planned stop and a request that its caller cancelled": {func(r *Record) { cutByStop(r); r.Attempts[1].Left = true }, ""},
		"requests unanswered on reused connections": {func(r *Record) {
			for _, id := range []string{"1", "2", "3", "4"} {
				add(r, Attempt{ID: id, Call: id, Kind: SafeCall, Path: "/safe/x", Key: openKey}, 40, "p1")
				a := &r.Attempts[len(r.Attempts)-1]
				a.Status, a.Err = 0, "EOF"
			}
		}, KeepAliveAnswered},
		"answers long after the route's timeout": {func(r *Record) {
			for _, id := range []string{"1", "2", "3", "4", "5", "6", "7", "8"} {
				add(r, Attempt{ID: id, Call: id, Kind: SafeCall, Path: "/safe/x", Key: openKey}, 40, "p1")
				r.Attempts[len(r.Attempts)-1].Done = at(44)
			}
		}, AnswersTimely},
		"no requests served after the last fault":             {func(r *Record) { r.FaultsEnded, r.Finished = at(40), true }, ServiceRecovers},
		"process exited unexpectedly":                         {func(r *Record) { r.Exits = []InjectedFault{{Subject: "a", From: at(3)}} }, NoUnexpectedExit},
		"stream goes on at another release within its answer": {func(r *Record) { addResumed(r, "v.0", "v1.1") }, StreamReleaseKept},
		"stream goes on at its release within its answer":     {func(r *Record) { addResumed(r, "v.0", "v1") }, ""},
		"stream is taken up at another release":               {func(r *Record) { addResumed(r, "v.1", "v1.1") }, StreamReleaseKept},
		"stream is taken up at its release":                   {func(r *Record) { addResumed(r, "v.1", "v1") }, ""},
		"stream is repeated at another release before any event": {func(r *Record) {
			addResumed(r, "v.0", "v1.1")
			r.Runs[len(r.Runs)-1].Resumed = ""
		}, ""},
		"stream is taken up at another release, which sends nothing": {func(r *Record) {
			addResumed(r, "v.1", "v1.1")
			r.Runs[len(r.Runs)-1].Events = 0
		}, ""},
		"few resumed streams go on":  {func(r *Record) { resumeSome(r, 5) }, ResumedGoesOn},
		"most resumed streams go on": {func(r *Record) { resumeSome(r, 6) }, ""},
		"they are resumed at a node that stops": {func(r *Record) {
			resumeSome(r, 0)
			r.Faults = append(r.Faults, injectedFault(ScopeNode, Stop, "a", 39, 47))
		}, ""},
		"one engine of their release is left": {func(r *Record) {
			resumeSome(r, 0)
			r.Targets[1].DrainingSince = at(40.5)
		}, ""},
		"too many attempts": {func(r *Record) {
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
			if c.violates == "" {
				require.Empty(t, broken, "%v", Verify(r))
				return
			}
			require.NotEmpty(t, broken)
			for _, p := range broken {
				require.Equal(t, c.violates, p, "%v", Verify(r))
			}
		})
	}
}
