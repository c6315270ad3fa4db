package drill

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/pathhead/pathhead/platform/platformtest"
)

// The case of a route that a configuration moves to a second service of engines with the same model.
const (
	secondService = "lm-desk-new"
	firstEngines  = 5
	secondEngines = 4
	promptEvery   = 10 * time.Millisecond
	// beforeChange and afterChange are the times of traffic before and after the configuration changes.
	beforeChange = 4 * time.Second
	afterChange  = 10 * time.Second
	// applyBound is configApplyMs.
	applyBound = 2 * time.Second
)

// tenants are the tenants by key. The last one is isolated.
var tenants = []platformtest.Tenant{
	{Name: siteTenant, Keys: []string{siteKey}},
	{Name: "tenant-b", Keys: []string{"key-b"}},
	{Name: "tenant-w", Keys: []string{"key-w"}, Isolated: true},
}

// wallConfig is the configuration. With moved set, a second service has the model too, and one of the two
// routes goes to it.
func wallConfig(version int64, moved bool) platformtest.Config {
	engine := func(name string) platformtest.Service {
		return platformtest.Service{Name: name, HealthPath: "/healthz", MaxConns: 370, Engine: &platformtest.Engine{
			Slots: 64, CacheTokens: 99487, TokenBytes: 18432, LinkMbps: 550000, CacheReaders: 12, Models: []platformtest.ModelName{{Name: modelName}},
		}}
	}
	route := func(name, prefix, service string, attempts int, resumable bool) platformtest.Route {
		return platformtest.Route{
			Name: name, Host: siteHost, Prefix: prefix, Kind: "streaming", TimeoutMS: streamTimeout.Milliseconds(), AimMS: 600,
			Priority: 1, Service: service, Attempts: attempts, Sticky: true, Resumable: resumable, GapMS: 500,
		}
	}
	c := platformtest.Config{
		Version:  version,
		Services: []platformtest.Service{engine(engineService)},
		Tenants:  tenants,
		Limits:   platformtest.Limits{HeaderBytes: 16384, BodyBytes: maxBodyBytes, HeaderMS: 3000, IdleMS: 15000},
	}
	fare := engineService
	if moved {
		c.Services = append(c.Services, engine(secondService))
		fare = secondService
	}
	c.Routes = []platformtest.Route{route("fare-rule-check", "/fare/", fare, 1, false), route("bag-exception", "/bag/", engineService, 2, true)}
	return c
}

// playWall plays the case. The rule is broken if a run uses memory across the wall of an isolated tenant.
func playWall(ctx context.Context, s *site) (broken int, err error) {
	if err := s.store.NameWeights(modelName, 1); err != nil {
		return 0, err
	}
	if err := s.store.Declare(wallConfig(1, false)); err != nil {
		return 0, err
	}
	if err := s.addNodes(2); err != nil {
		return 0, err
	}
	log := new(platformtest.RunLog)
	for i := range firstEngines + secondEngines {
		service := engineService
		if i >= firstEngines {
			service = secondService
		}
		r, err := platformtest.Start(s.store, log, fmt.Sprintf("i-%d", i), service, netip.AddrPort{},
			platformtest.WithModel(modelName, 1), platformtest.WithHeartbeat(heartbeat))
		if err != nil {
			return 0, err
		}
		defer r.Crash()
	}
	if err := s.startNodes(ctx); err != nil {
		return 0, err
	}
	p := &prompts{s: s, client: newCallers(), sent: make(map[string]sentPrompt)}
	playing, stop := context.WithCancel(ctx)
	defer stop()
	var traffic sync.WaitGroup
	traffic.Go(func() { p.play(playing) })
	time.Sleep(beforeChange)
	if s.trouble {
		if err := s.store.Declare(wallConfig(2, true)); err != nil {
			return 0, err
		}
	}
	changed := time.Now()
	s.logf("the change of the configuration was acknowledged: %v", s.trouble)
	time.Sleep(afterChange)
	stop()
	traffic.Wait()
	late := 0
	for _, run := range log.AllRuns() {
		q := p.sent[run.ID]
		if !run.CrossTenant {
			continue
		}
		broken++
		if q.at.After(changed.Add(applyBound)) {
			late++
		}
		s.logf("BROKEN: the run of %s for %s at %s of %s used parts across the wall of an isolated tenant; Cache-Salt %q, Expect-Version %q, parts %s",
			run.ID, run.Organisation(), run.Replica, run.Service, run.Salt, run.Header.Get("Expect-Version"), run.Parts())
	}
	s.logf("callers: %d served, %d failed; %d runs across the wall, %d of them sent over %s after the acknowledgement", p.served, p.failed, broken, late, applyBound)
	if p.served == 0 {
		return 0, fmt.Errorf("no request was served")
	}
	return broken, nil
}

// sentPrompt is what a caller sent.
type sentPrompt struct{ at time.Time }

// prompts is the callers of the case. All tenants use the same few beginnings of prompts.
type prompts struct {
	s      *site
	client *http.Client

	mu             sync.Mutex
	sent           map[string]sentPrompt
	served, failed int
}

func (p *prompts) play(ctx context.Context) {
	var calls sync.WaitGroup
	every := time.NewTicker(promptEvery)
	defer every.Stop()
	for number := 0; ctx.Err() == nil; number++ {
		<-every.C
		calls.Go(func() { p.call(number) })
	}
	calls.Wait()
}

func (p *prompts) call(number int) {
	id, tenant := fmt.Sprintf("p%06d", number), tenants[number%len(tenants)]
	path := "/fare/check"
	if number/len(tenants)%2 == 0 {
		path = "/bag/note"
	}
	// The last part belongs to the request itself.
	parts := fmt.Sprintf("5c1e0%d:800,91bd3f06:400,e4%06d:60", number/(2*len(tenants))%4, number)
	header := make(http.Header)
	platformtest.RequestInfo{ID: id, Key: tenant.Keys[0], Timeout: streamTimeout, Model: modelName, Parts: parts, PromptTokens: 1260, AnswerTokens: 20}.Set(header)
	p.mu.Lock()
	p.sent[id] = sentPrompt{at: time.Now()}
	p.mu.Unlock()
	n := p.s.nodes[number%len(p.s.nodes)]
	a := n.send(context.Background(), p.client, request{id: id, path: path, body: make([]byte, 600), header: header, timeout: streamTimeout})
	p.mu.Lock()
	defer p.mu.Unlock()
	if a.err == nil && a.status == http.StatusOK {
		p.served++
		return
	}
	p.failed++
	p.s.logf("caller: %s of %s: status %d, %v", id, tenant.Name, a.status, a.err)
}
