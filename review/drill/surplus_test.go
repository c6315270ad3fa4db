package drill

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/pathhead/pathhead/platform/platformtest"
)

// The case of a surplus answer to a request that an engine refused since another one was expected, which
// the node sends there again on the same connection.
const (
	engines = 7
	// faulty is the number of engines that the disruptions hit.
	faulty      = 4
	streamEvery = 5 * time.Millisecond
	// Surplus answers come for surplusTime, again every cycleTime. In that time two of the faulty engines
	// crash at each of crashTimes, and are away for downTime.
	cycles      = 10
	cycleTime   = 6 * time.Second
	surplusTime = 5 * time.Second
	crashed     = 2
	downTime    = 100 * time.Millisecond
)

// crashTimes are the times of crashes within a cycle.
var crashTimes = []time.Duration{1500 * time.Millisecond, 3800 * time.Millisecond}

func engineConfig() platformtest.Config {
	return platformtest.Config{
		Version: 1,
		Routes: []platformtest.Route{{
			Name: "fare-rule-check", Host: siteHost, Prefix: "/fare/", Kind: "streaming", TimeoutMS: streamTimeout.Milliseconds(), AimMS: 600,
			Priority: 1, Service: engineService, Attempts: 1, Sticky: true, GapMS: 500,
		}},
		Services: []platformtest.Service{{Name: engineService, HealthPath: "/healthz", MaxConns: 370, Engine: &platformtest.Engine{
			Slots: 64, CacheTokens: 99487, TokenBytes: 18432, LinkMbps: 550000, CacheReaders: 12, Models: []platformtest.ModelName{{Name: modelName}},
		}}},
		Tenants: []platformtest.Tenant{{Name: siteTenant, Keys: []string{siteKey}}},
		Limits:  platformtest.Limits{HeaderBytes: 16384, BodyBytes: maxBodyBytes, HeaderMS: 3000, IdleMS: 15000},
	}
}

// playSurplus plays the case. The rule is broken if a request that may run only once gets 429 or 503, and
// an engine has begun work on it.
func playSurplus(ctx context.Context, s *site) (broken int, err error) {
	if err := s.store.NameWeights(modelName, 1); err != nil {
		return 0, err
	}
	if err := s.store.Declare(engineConfig()); err != nil {
		return 0, err
	}
	if err := s.addNodes(8); err != nil {
		return 0, err
	}
	var all []*engine
	for i := range engines {
		e, err := s.newEngine(fmt.Sprintf("i-%d", i), s.trouble && i < faulty)
		if err != nil {
			return 0, err
		}
		all = append(all, e)
	}
	if err := s.startNodes(ctx); err != nil {
		return 0, err
	}
	t := &streams{s: s, client: newCallers(), refused: make(map[string]int)}
	playing, stop := context.WithCancel(ctx)
	defer stop()
	var traffic sync.WaitGroup
	traffic.Go(func() { t.play(playing) })
	time.Sleep(calmTime)
	begin := time.Now()
	for cycle := range cycles {
		from := begin.Add(time.Duration(cycle) * cycleTime)
		for _, e := range all {
			e.spoil(from, from.Add(surplusTime))
		}
		for i, at := range crashTimes {
			time.Sleep(time.Until(from.Add(at)))
			if err := crash(s, all, cycle*len(crashTimes)+i); err != nil {
				return 0, err
			}
		}
		time.Sleep(time.Until(from.Add(cycleTime)))
	}
	time.Sleep(calmTime)
	stop()
	traffic.Wait()
	runs := make(map[string]int)
	for _, e := range all {
		e.mu.Lock()
		s.logf("%s: surplus answers followed %d of its %d answers during disruptions", e.base, e.allSurplus, e.allAnswered)
		for id, n := range e.runs {
			runs[id] += n
		}
		e.mu.Unlock()
	}
	for id, status := range t.refused {
		if runs[id] > 0 {
			broken++
			s.logf("BROKEN: the caller of %s got %d, and an engine has begun work on it", id, status)
		}
	}
	s.logf("callers: %d whole streams, %d refused, %d failed; %d requests ran", t.whole, len(t.refused), t.failed, len(runs))
	if t.whole == 0 {
		return 0, fmt.Errorf("no request was served")
	}
	return broken, nil
}

// crash lets two of the faulty engines crash and start again.
func crash(s *site, all []*engine, number int) error {
	if !s.trouble {
		return nil
	}
	var restarts errgroup
	for i := range crashed {
		e := all[(number*crashed+i)%faulty]
		id := fmt.Sprintf("%s-%d", e.base, number+1)
		s.logf("%s crashes; %s comes", e.replica.name(), id)
		restarts.Go(func() error { return e.replica.restart(id, downTime) })
	}
	return restarts.Wait()
}

// errgroup runs functions and joins their errors.
type errgroup struct {
	wg   sync.WaitGroup
	mu   sync.Mutex
	errs []error
}

func (g *errgroup) Go(f func() error) {
	g.wg.Go(func() {
		if err := f(); err != nil {
			g.mu.Lock()
			defer g.mu.Unlock()
			g.errs = append(g.errs, err)
		}
	})
}

func (g *errgroup) Wait() error {
	g.wg.Wait()
	return errors.Join(g.errs...)
}

// streams is the callers of the case.
type streams struct {
	s      *site
	client *http.Client

	mu            sync.Mutex
	whole, failed int
	// refused holds the status of each request that got a promise that it did not run.
	refused map[string]int
}

func (t *streams) play(ctx context.Context) {
	var calls sync.WaitGroup
	every := time.NewTicker(streamEvery)
	defer every.Stop()
	for number := 0; ctx.Err() == nil; number++ {
		<-every.C
		calls.Go(func() { t.call(number) })
	}
	calls.Wait()
}

func (t *streams) call(number int) {
	n := t.s.nodes[number%len(t.s.nodes)]
	id := fmt.Sprintf("s%06d", number)
	header := make(http.Header)
	platformtest.RequestInfo{Model: modelName, Parts: "ab:40,cd" + id + ":60", PromptTokens: 100, AnswerTokens: events}.Set(header)
	for _, name := range []string{"X-Request-Id", "X-Deadline-Ms", "X-Credential"} {
		header.Del(name)
	}
	a := n.send(context.Background(), t.client, request{id: id, path: "/fare/check", body: make([]byte, 600), header: header, timeout: streamTimeout})
	whole := ""
	for i := range events {
		whole += eventText(id, i+1)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case a.err == nil && (a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests):
		t.refused[id] = a.status
		t.s.logf("caller: %s at %s: status %d: %s", id, n.name, a.status, a.body)
	case a.err != nil || a.status != http.StatusOK || a.body != whole:
		t.failed++
		t.s.logf("caller: %s at %s: status %d, %v", id, n.name, a.status, a.err)
	default:
		t.whole++
	}
}
