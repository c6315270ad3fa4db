package drill

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pathhead/pathhead/platform/platformtest"
)

// The case of answers without a length that are reset on the way, while the replica has not read the
// request's body yet. Each disruption is garble with early, unframed and broken off answers.
const (
	appService = "checkin-app"
	// longBody is the size of the long requests, within the maxBodyBytes of the configuration.
	longBody     = 4_000_000
	maxBodyBytes = 4194304
	// wholeAnswer is the size of a replica's whole answer, sentAnswer that of the part that is sent
	// before a reset.
	wholeAnswer = 800
	sentAnswer  = 400
	// calmTime is the traffic before the first disruption, troubleTime the duration of a disruption and
	// restTime the time between two of them.
	calmTime    = 4 * time.Second
	troubleTime = 5 * time.Second
	restTime    = 4 * time.Second
	// disruptions is the number of disruptions. Each hits half of the replicas.
	disruptions = 2
	// brokenShare is the largest share of a replica's answers that is broken off.
	brokenShare = 0.05
	callTimeout = 3 * time.Second
	longEvery   = 100 * time.Millisecond
	shortEvery  = 4 * time.Millisecond
)

// faultyReplica breaks off some of its answers while it is in trouble.
type faultyReplica struct {
	s  *site
	id string
	// group is 0 or 1: the disruptions hit the two groups in turn.
	group int

	mu sync.Mutex
	// from is when the first disruption begins; zero if there is none.
	from time.Time
	// last is the number of the last disruption, answered and broken are counted in it.
	last, answered, broken int
	allAnswered, allBroken int
}

// disruption returns the number of the disruption that hits the replica now.
func (f *faultyReplica) disruption(now time.Time) (number int, ok bool) {
	if f.from.IsZero() || now.Before(f.from) {
		return 0, false
	}
	since := now.Sub(f.from)
	number = int(since / (troubleTime + restTime))
	return number, number < disruptions && number%2 == f.group && since%(troubleTime+restTime) < troubleTime
}

// wholeBody returns the whole body of the answer to a request.
func wholeBody(id string) string {
	return (strings.Repeat(id+" is confirmed. ", wholeAnswer))[:wholeAnswer-1] + "."
}

// breaksOff reports whether the answer to a long request is to be broken off.
func (f *faultyReplica) breaksOff(long bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	number, ok := f.disruption(time.Now())
	if !ok {
		return false
	}
	if number != f.last {
		f.last, f.answered, f.broken = number, 0, 0
	}
	f.answered++
	f.allAnswered++
	if !long || float64(f.broken+1) > brokenShare*float64(f.answered) {
		return false
	}
	f.broken++
	f.allBroken++
	return true
}

func (f *faultyReplica) answer(c net.Conn, _ *bufio.Reader, r *http.Request) (more bool) {
	id := r.Header.Get("X-Request-Id")
	if want := r.Header.Get("X-Expect-Instance"); want != f.id {
		_, err := io.WriteString(c, wrongInstance(id, f.id))
		return err == nil
	}
	long := r.ContentLength == longBody
	whole := wholeBody(id)
	if f.breaksOff(long) {
		// The answer has no length and begins before the body is read. It is reset midway: closing with
		// unread bytes resets.
		if writeHead(c, f.id, id, "text/plain", -1) != nil {
			return false
		}
		_, _ = io.WriteString(c, whole[:sentAnswer])
		time.Sleep(20 * time.Millisecond)
		f.s.logf("%s ran %s, sent %d of %d bytes without a length, and reset the channel", f.id, id, sentAnswer, wholeAnswer)
		return false
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return false
	}
	if writeHead(c, f.id, id, "text/plain", len(whole)) != nil {
		return false
	}
	_, err := io.WriteString(c, whole)
	if long {
		f.s.logf("%s ran %s and answered it whole", f.id, id)
	}
	return err == nil
}

func appConfig() platformtest.Config {
	route := func(name, prefix, kind string, attempts int) platformtest.Route {
		return platformtest.Route{
			Name: name, Host: siteHost, Prefix: prefix, Kind: kind, TimeoutMS: callTimeout.Milliseconds(), AimMS: 300,
			Priority: 2, Service: appService, Attempts: attempts,
		}
	}
	return platformtest.Config{
		Version:  1,
		Routes:   []platformtest.Route{route("seat-change", "/seat/", "non_idempotent", 1), route("pass-issue", "/pass/", "idempotent", 2)},
		Services: []platformtest.Service{{Name: appService, HealthPath: "/healthz", MaxConns: 110}},
		Tenants:  []platformtest.Tenant{{Name: siteTenant, Keys: []string{siteKey}}},
		Limits:   platformtest.Limits{HeaderBytes: 16384, BodyBytes: maxBodyBytes, HeaderMS: 3000, IdleMS: 15000},
	}
}

// playTruncated plays the case. The rule is broken if a caller gets a success whose body is not the
// replica's whole body, and the answer looks complete.
func playTruncated(ctx context.Context, s *site) (broken int, err error) {
	if err := s.store.Declare(appConfig()); err != nil {
		return 0, err
	}
	if err := s.addNodes(2); err != nil {
		return 0, err
	}
	var all []*faultyReplica
	for i := range 4 {
		f := &faultyReplica{s: s, id: fmt.Sprintf("i-%d", i), group: i % 2, last: -1}
		if _, err := s.addReplica(f.id, appService, nil, f.answer); err != nil {
			return 0, err
		}
		all = append(all, f)
	}
	if err := s.startNodes(ctx); err != nil {
		return 0, err
	}
	begin := time.Now().Add(calmTime)
	if s.trouble {
		for _, f := range all {
			f.mu.Lock()
			f.from = begin
			f.mu.Unlock()
		}
	}
	t := &truncatedTraffic{s: s, client: newCallers()}
	t.play(ctx, begin.Add(disruptions*(troubleTime+restTime)))
	for _, f := range all {
		s.logf("%s: %d of its %d answers during disruptions were broken off", f.id, f.allBroken, f.allAnswered)
	}
	s.logf("callers: %d complete, %d failed, %d truncated successes", t.complete, t.failed, t.truncated)
	if t.complete == 0 {
		return 0, fmt.Errorf("no request was served")
	}
	return t.truncated, nil
}

// truncatedTraffic is the callers of the case.
type truncatedTraffic struct {
	s      *site
	client *http.Client

	mu                          sync.Mutex
	number                      int
	complete, failed, truncated int
}

func (t *truncatedTraffic) play(ctx context.Context, until time.Time) {
	var calls sync.WaitGroup
	short, long := time.NewTicker(shortEvery), time.NewTicker(longEvery)
	defer short.Stop()
	defer long.Stop()
	for time.Now().Before(until) && ctx.Err() == nil {
		size := 600
		select {
		case <-short.C:
		case <-long.C:
			size = longBody
		}
		t.number++
		number := t.number
		calls.Go(func() { t.call(ctx, number, size) })
	}
	calls.Wait()
}

func (t *truncatedTraffic) call(ctx context.Context, number, size int) {
	q := request{id: fmt.Sprintf("r%06d", number), path: "/seat/change", timeout: callTimeout, body: make([]byte, size)}
	if number%2 == 0 {
		q.path = "/pass/issue"
	}
	n := t.s.nodes[number%len(t.s.nodes)]
	a := n.send(ctx, t.client, q)
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case a.err != nil || a.status != http.StatusOK:
		t.failed++
		t.s.logf("caller: %s %s: status %d, %v", q.id, q.path, a.status, a.err)
	case platformtest.AnswerSeal(a.header) == "" || a.body != wholeBody(q.id):
		t.truncated++
		t.s.logf("caller: %s %s: BROKEN: status 200, seal %q, a complete answer of %d bytes; the replica's whole body has %d",
			q.id, q.path, platformtest.AnswerSeal(a.header), len(a.body), wholeAnswer)
	default:
		t.complete++
		if size == longBody {
			t.s.logf("caller: %s %s: status 200, whole", q.id, q.path)
		}
	}
}
