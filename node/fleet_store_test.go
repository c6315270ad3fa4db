package node

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs/v2"

	"github.com/pathhead/pathhead/fleet"
	"github.com/pathhead/pathhead/policy"
	"github.com/pathhead/pathhead/route"
)

// simStore simulates the installation's store and engines.
type simStore struct {
	engines int
	began   time.Time

	mu    sync.Mutex
	rows  map[[2]string]fleet.Row
	calls map[string]int
	// counter rises with each change; namedAt and declaredAt are its values at the last naming and
	// declaration.
	counter, namedAt, declaredAt int64
	// revision and text are the configuration.
	revision int64
	text     string
	// named are the newest weights; loaded holds the state of the engines.
	named  string
	loaded map[netip.AddrPort]*simEngine
	// listLag and reportLag are the age of an engine's weights in its entry and of its state when
	// queried. Every lateOrder-th order is not answered and carried out simLateOrder later; zero
	// stands for none.
	listLag, reportLag time.Duration
	lateOrder, ordered int
	// order is a roll-out ordered at the counter value orderedAt; status is its stored state.
	order     route.RolloutOrder
	orderedAt int64
	status    RolloutStatus
	// unlisted are the engines that run without an entry in the list.
	unlisted map[netip.AddrPort]bool
}

// list sets whether engines have an entry in the list.
func (s *simStore) list(listed bool, engines ...netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, addr := range engines {
		s.unlisted[addr] = !listed
	}
}

func newSimStore(engines int) *simStore {
	return &simStore{
		engines: engines, began: time.Now(), rows: make(map[[2]string]fleet.Row), calls: make(map[string]int),
		counter: 1, namedAt: 1, declaredAt: 1, revision: 1, text: "one",
		named: "1", loaded: make(map[netip.AddrPort]*simEngine), unlisted: make(map[netip.AddrPort]bool),
	}
}

func (s *simStore) call(name string) {
	s.mu.Lock()
	s.calls[name]++
	s.mu.Unlock()
	time.Sleep(simStoreCall)
}

// simStoreClient is one node's store client, which can be cut off. The text of a configuration
// passes over the node's link as on the wire, where four bytes encode three.
type simStoreClient struct {
	*simStore
	net   *simNetwork
	addr  netip.Addr
	down  atomic.Bool
	asked atomic.Int64
}

// checkUp counts a call, and fails it after a delay if the client is cut off.
func (d *simStoreClient) checkUp(ctx context.Context) error {
	d.asked.Add(1)
	if !d.down.Load() {
		return nil
	}
	pause(ctx, simCallTimeout)
	return errors.New("no answer")
}

// Get implements [fleet.Table].
func (d *simStoreClient) Get(ctx context.Context, part, sort string) (fleet.Row, bool, error) {
	if err := d.checkUp(ctx); err != nil {
		return fleet.Row{}, false, err
	}
	return d.simStore.Get(ctx, part, sort)
}

// Range implements [fleet.Table].
func (d *simStoreClient) Range(ctx context.Context, part, after string, limit int) ([]fleet.Row, error) {
	if err := d.checkUp(ctx); err != nil {
		return nil, err
	}
	return d.simStore.Range(ctx, part, after, limit)
}

// Remove implements [Store].
func (d *simStoreClient) Remove(ctx context.Context, rows ...fleet.Row) error {
	if err := d.checkUp(ctx); err != nil {
		return err
	}
	return d.simStore.Remove(ctx, rows...)
}

// Commit implements [fleet.Table].
func (d *simStoreClient) Commit(ctx context.Context, token string, writes ...fleet.Write) (int64, error) {
	if err := d.checkUp(ctx); err != nil {
		return 0, err
	}
	return d.simStore.Commit(ctx, token, writes...)
}

// Watch implements [Store].
func (d *simStoreClient) Watch(ctx context.Context, after int64, wait time.Duration) (Changes, error) {
	if err := d.checkUp(ctx); err != nil {
		return Changes{}, err
	}
	out, err := d.simStore.Watch(ctx, after, wait)
	if out.Declared != nil {
		d.read(ctx, len(out.Declared.Text)*4/3)
	}
	return out, err
}

// simWindow is the number of bytes of a store response in flight at a time.
const simWindow = 16 << 10

// read transfers a store response over the node's link, which other traffic shares.
func (d *simStoreClient) read(ctx context.Context, bytes int) {
	for ; bytes > 0; bytes -= simWindow {
		if !pause(ctx, time.Until(d.net.read(d.addr, min(bytes, simWindow)))) {
			return
		}
	}
}

// Targets implements [Store].
func (d *simStoreClient) Targets(ctx context.Context, large bool) (Listing, error) {
	if err := d.checkUp(ctx); err != nil {
		return Listing{}, err
	}
	return d.simStore.Targets(ctx, large)
}

// Get implements [fleet.Table].
func (s *simStore) Get(_ context.Context, part, sort string) (fleet.Row, bool, error) {
	s.call("get")
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.rows[[2]string{part, sort}]
	return r, ok, nil
}

// Range implements [fleet.Table].
func (s *simStore) Range(_ context.Context, part, after string, limit int) (rows []fleet.Row, err error) {
	s.call("get")
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, r := range s.rows {
		if key[0] == part && key[1] > after {
			rows = append(rows, r)
		}
	}
	slices.SortFunc(rows, func(a, b fleet.Row) int { return cmp.Compare(a.Sort, b.Sort) })
	return rows[:min(limit, len(rows))], nil
}

// put writes a row that does not exist.
func (s *simStore) put(part, sort string, data []byte) error {
	_, err := s.Commit(context.Background(), "", fleet.Write{Part: part, Sort: sort, Data: data})
	return err
}

// simCallEntries is the largest number of conditions and rows in a call that writes.
const simCallEntries = 100

// Remove implements [Store].
func (s *simStore) Remove(_ context.Context, rows ...fleet.Row) error {
	s.call("remove")
	if 2*len(rows) > simCallEntries {
		return errs.Errorf("%d rows and their conditions in one call", len(rows))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range rows {
		if s.rows[[2]string{r.Part, r.Sort}].Rev != r.Rev {
			return fleet.ErrConflict.Errorf("%s", r.Sort)
		}
	}
	for _, r := range rows {
		delete(s.rows, [2]string{r.Part, r.Sort})
	}
	return nil
}

// Commit implements [fleet.Table].
func (s *simStore) Commit(_ context.Context, _ string, writes ...fleet.Write) (int64, error) {
	s.call("commit")
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range writes {
		if s.rows[[2]string{w.Part, w.Sort}].Rev != w.If {
			return 0, fleet.ErrConflict.Errorf("%s", w.Sort)
		}
	}
	for _, w := range writes {
		s.rows[[2]string{w.Part, w.Sort}] = fleet.Row{Part: w.Part, Sort: w.Sort, Data: w.Data, Rev: w.If + 1}
	}
	return writes[0].If + 1, nil
}

// Watch implements [Store].
func (s *simStore) Watch(ctx context.Context, after int64, wait time.Duration) (Changes, error) {
	s.call("watch")
	changed := func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.counter > after
	}
	for end := time.Now().Add(wait); after > 0 && !changed() && time.Now().Before(end); {
		if !pause(ctx, simCrossZoneLatency) {
			return Changes{}, ctx.Err()
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	out := Changes{Cursor: s.counter}
	if s.namedAt > after {
		out.Named = []Naming{{Model: simModel, Weights: s.named, Revision: s.namedAt}}
	}
	if s.orderedAt > after {
		out.Rollouts = []route.RolloutOrder{s.order}
	}
	var err error
	if s.declaredAt > after {
		out.Declared, err = s.Parse(s.revision, s.text)
	}
	return out, err
}

// rollOut orders a roll-out.
func (s *simStore) rollOut(release string, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counter++
	s.orderedAt = s.counter
	s.order = route.RolloutOrder{Pool: simPool, Release: release, Revision: s.counter, Duration: d}
}

// RolloutStatus implements [RolloutRecord].
func (d *simStoreClient) RolloutStatus(ctx context.Context, pool string) (RolloutStatus, error) {
	if err := d.checkUp(ctx); err != nil {
		return RolloutStatus{}, err
	}
	return d.simStore.RolloutStatus(ctx, pool)
}

// RecordRollout implements [RolloutRecord].
func (d *simStoreClient) RecordRollout(ctx context.Context, pool string, s RolloutStatus) (int64, error) {
	if err := d.checkUp(ctx); err != nil {
		return 0, err
	}
	return d.simStore.RecordRollout(ctx, pool, s)
}

// RolloutStatus implements [RolloutRecord].
func (s *simStore) RolloutStatus(context.Context, string) (RolloutStatus, error) {
	s.call("status read")
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.status, nil
}

// RecordRollout implements [RolloutRecord].
func (s *simStore) RecordRollout(_ context.Context, _ string, st RolloutStatus) (int64, error) {
	s.call("status write")
	s.mu.Lock()
	defer s.mu.Unlock()
	if st.Revision != s.status.Revision {
		return 0, fleet.ErrConflict.Errorf("the status has changed")
	}
	s.counter++
	st.Revision = s.counter
	s.status = st
	return s.counter, nil
}

// declare puts a configuration in force.
func (s *simStore) declare(text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counter++
	s.revision++
	s.declaredAt, s.text = s.counter, text
}

// Parse implements [Store].
func (s *simStore) Parse(revision int64, text string) (*Declared, error) {
	return &Declared{Revision: revision, Text: text, Config: &policy.Config{
		Open:    true,
		Version: policy.Version,
		Pools: []policy.Pool{{
			Name: simPool, Kind: policy.KindEngine, Selector: LabelPool + "=" + simPool, Window: 24, Fetches: true,
			LinkRate: 3.7e6, CacheTokens: 93066, CacheReaders: 8, MaxConns: 1300, TrustRefusals: true,
		}},
		Models: []policy.Model{{Name: simModel, Pool: simPool, Weights: "1", MaxPromptTokens: 1 << 20, Floor: 1}},
	}}, nil
}

// simPage is the number of targets per page of the list.
const simPage = 500

// Targets implements [Store].
func (s *simStore) Targets(_ context.Context, large bool) (Listing, error) {
	if s.engines > simPage && !large {
		s.call("list's beginning")
		return Listing{Partial: true}, nil
	}
	s.call("list")
	beat := int64(time.Since(s.began)/simHeartbeat) + 1
	var out []*route.Entry
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.engines {
		if s.unlisted[simEngineAddr(i)] {
			continue
		}
		e := s.engine(simEngineAddr(i))
		id, revision := simEngineID(i, e.boot), beat+int64(e.boot)
		if e.boot > 0 && time.Now().Before(e.startedAt) {
			id, revision = simEngineID(i, e.boot-1), e.lastBeat
		}
		out = append(out, &route.Entry{
			Seen:     route.ListedTarget{Addr: simEngineAddr(i), Labels: map[string]string{LabelPool: simPool, route.LabelZone: simZone(i)}},
			Report:   route.Report{Incarnation: id, Weights: map[string]string{simModel: e.weightsBefore(s.listLag)}, Slots: 24},
			Revision: revision,
		})
	}
	return Listing{Targets: out}, nil
}

// Era implements [Store].
func (s *simStore) Era() int64 { return 0 }

func (s *simStore) Clock() StoreClock {
	now := time.Now()
	return StoreClock{At: now.Sub(s.began) + time.Second, Begun: now, Heard: now}
}

// LastBefore implements [Store].
func (s *simStore) LastBefore(int64) (time.Duration, bool) { return 0, false }

// simLoadTime is the time an engine takes to load weights.
const simLoadTime = 760 * time.Millisecond

// simEngine is the state of an engine's weights.
type simEngine struct {
	weights, next string
	orders        int64
	// until is when loading next completes.
	until time.Time
	// previous are the weights before the last change, at changedAt.
	previous  string
	changedAt time.Time
	// boot counts the crashes. After one the engine is down until startedAt, and its last heartbeat
	// stays in the list for so long.
	boot      int
	startedAt time.Time
	lastBeat  int64
}

// simDownTime is how long an engine is down after a crash, simLateOrder how late an order may be
// carried out.
const (
	simDownTime  = time.Second
	simLateOrder = 2 * time.Second
)

// simEngineID returns the incarnation of an engine after a number of crashes.
func simEngineID(i, boot int) route.Incarnation {
	if boot == 0 {
		return route.Incarnation(fmt.Sprintf("i-%08x", i))
	}
	return route.Incarnation(fmt.Sprintf("i-%08x-%d", i, boot))
}

// weightsBefore returns the engine's weights some time ago.
func (e *simEngine) weightsBefore(lag time.Duration) string {
	if e.previous != "" && time.Since(e.changedAt) < lag {
		return e.previous
	}
	return e.weights
}

// crash ends an engine; another one with the newest weights starts at its address.
func (s *simStore) crash(i int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.engine(simEngineAddr(i))
	s.loaded[simEngineAddr(i)] = &simEngine{
		weights: s.named, boot: old.boot + 1, startedAt: time.Now().Add(simDownTime),
		lastBeat: int64(time.Since(s.began)/simHeartbeat) + 1 + int64(old.boot),
	}
}

// engine returns the current state of an engine. The caller holds s.mu.
func (s *simStore) engine(addr netip.AddrPort) *simEngine {
	e, ok := s.loaded[addr]
	if !ok {
		e = &simEngine{weights: "1"}
		s.loaded[addr] = e
	}
	if e.next != "" && !time.Now().Before(e.until) {
		e.previous, e.changedAt = e.weights, e.until
		e.weights, e.next = e.next, ""
	}
	return e
}

// nameWeights names new weights.
func (s *simStore) nameWeights(weights string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counter++
	s.namedAt, s.named = s.counter, weights
}

// countOutdated returns the number of engines with weights other than the named ones.
func (s *simStore) countOutdated() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.engines {
		if s.engine(simEngineAddr(i)).weights != s.named {
			n++
		}
	}
	return n
}

// State implements [Engines].
func (s *simStore) State(_ context.Context, target netip.AddrPort) (TargetState, error) {
	time.Sleep(simCrossZoneLatency)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.engine(target)
	out := TargetState{Weights: map[string]string{simModel: e.weightsBefore(s.reportLag)}, Orders: e.orders, Busy: e.next != ""}
	switch begun := e.until.Add(-simLoadTime); {
	case e.orders == 0 || s.reportLag == 0:
	case time.Since(begun) < s.reportLag:
		out.Orders, out.Busy = e.orders-1, false
	case time.Since(e.until) < s.reportLag:
		out.Busy = true
	}
	return out, nil
}

// Order implements [Engines].
func (s *simStore) Order(ctx context.Context, o Order) (OrderAnswer, error) {
	time.Sleep(simCrossZoneLatency)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ordered++; s.lateOrder > 0 && s.ordered%s.lateOrder == 0 {
		time.AfterFunc(simLateOrder, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			// Nobody receives the answer.
			_, _ = s.executeOrder(o)
		})
		s.mu.Unlock()
		<-ctx.Done()
		s.mu.Lock()
		return OrderRefused, ctx.Err()
	}
	return s.executeOrder(o)
}

// executeOrder carries out an order. The caller holds s.mu.
func (s *simStore) executeOrder(o Order) (OrderAnswer, error) {
	e := s.engine(o.Target.Target)
	switch {
	case e.orders != o.Orders || e.next != "":
		return OrderRefused, nil
	case e.weights == o.Weights:
		return OrderAlreadyLoaded, nil
	}
	e.next, e.until = o.Weights, time.Now().Add(simLoadTime)
	e.orders++
	return OrderTaken, nil
}

// CacheEvents implements [Engines]. An engine caches the parts derived from its address and evicts
// some of them for others each second.
func (s *simStore) CacheEvents(ctx context.Context, target netip.AddrPort, since int64, wait time.Duration) (CachePage, error) {
	time.Sleep(simSameZoneLatency)
	addr := target.Addr().As4()
	engine := int64(addr[2])<<8 + int64(addr[3])
	part := func(k int64) string {
		return fmt.Sprint("part-", int64(hashFraction(fmt.Sprint(engine, "/", k))*simParts))
	}
	next := int64(time.Since(s.began).Seconds()*simChangesPerSecond) + simCachedParts
	if since > 0 && next <= since {
		pause(ctx, wait)
		return CachePage{Epoch: 1, Next: since}, ctx.Err()
	}
	page := CachePage{Epoch: 1, Next: next}
	held := make(map[string]bool)
	for k := next - simCachedParts; k < next; k++ {
		held[part(k)] = true
	}
	for k := max(since, next-simCachedParts); k < next; k++ {
		page.Changes = append(page.Changes, route.PartChange{Salt: "s", ID: part(k), Tokens: 3780})
	}
	for k := max(0, since-simCachedParts); since > 0 && k < next-simCachedParts; k++ {
		if !held[part(k)] {
			page.Changes = append(page.Changes, route.PartChange{Salt: "s", ID: part(k)})
		}
	}
	return page, nil
}

// callsText formats the number of store calls by kind.
func (s *simStore) callsText() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for _, k := range slices.Sorted(maps.Keys(s.calls)) {
		out = append(out, fmt.Sprint(k, " ", s.calls[k]))
	}
	return strings.Join(out, ", ")
}
