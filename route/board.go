package route

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/pathhead/pathhead/event"
	"github.com/pathhead/pathhead/policy"
)

// Board is the blackboard of one router. Its methods are not safe for
// concurrent use; the shell calls them under one lock.
type Board struct {
	rng     *rand.Rand
	place   Placer
	onEvent func(event.Event)

	snap     *policy.Snapshot
	targets  map[netip.AddrPort]*target
	slots    map[uint32]*target
	lastSlot uint32
	marks    map[TargetKey]bool
	pools    map[string]*pool
	orgs     map[string]*orgState
	requests map[string]*request
	prefixes *prefixIndex
	// partHolders finds targets by the parts that their events say they hold.
	partHolders partIndex
	shared      sharedParts
	hot         hotParts
	// firstParts measures how often prompts begin with a part.
	firstParts *generationalMap[Block, meter]
	fills      []Fill
	// kept are the prefixes that are hot or in a kept KV store, newlyKept those to
	// tell peers of, exporting the exports under way.
	kept      *generationalMap[Block, keptPrefix]
	newlyKept []Kept
	exporting int
	routers   int
	// begun is when the first configuration was adopted.
	begun time.Time
	// crowd is how many routers may have spent retries lately, rounding the part of
	// one retry that this router's part of the reserve is rounded up by.
	recentRouters   windowedMax
	reserveRounding float64
	// alone says that the settings name no other router, configuredRouters how many they name.
	soleRouter        bool
	configuredRouters int
	// partialPeerList says that they name only some of the others.
	partialPeerList bool
	// counted is how many other routers told at limitsReportedAt what of limits they use.
	limitReporters   int
	limitsReportedAt time.Time
	// sharers is how many routers may use limits.
	limitSharers windowedMax
	peers        map[string]PeerState
	closed       *Refusal
	round        uint64
	scratch      []candidate
	staleness    *Staleness
	// named is what is known of each model's newest weights, now and before.
	named map[string]spans
	// placed hears at once of requests that take a target long.
	onPlaced func(PlacementReport)
	// filling are the blocks that targets read now.
	pendingFills map[fillKey]pendingFill
	// off are the mechanisms that an experiment switched off.
	disabled Mechanisms
	// backoffUntil is until when some target wants no requests.
	backoffUntil time.Time
	// unlisted are the words of targets that left the list, which hold if they are back.
	unlisted map[netip.AddrPort]unlistedHints
	// crashes are the targets that ended under requests.
	crashes crashTracker
	// rollouts are the pools' newest roll-outs, exposure the share of requests that a release on trial gets.
	rollouts map[string]*rollout
	// reserve has the targets of large pools, holding the targets that are held back as told last.
	reserve TargetIndex
	holding map[TargetKey]bool
	// retiredAt is when targets were last looked through that nobody uses.
	retiredAt time.Time
	exposure  float64
	// zone is where this router runs, empty if it is of no account.
	zone string
	// maxPendingPrefill is the prefill that this router may have waiting at one engine; zero
	// means an even part of what all routers may.
	maxPendingPrefill time.Duration
	// reused says that an address may become another pool's.
	reused bool
	// minRetryAfter is the least time a caller is told to stay away.
	minRetryAfter time.Duration
	// version grows when a target's state changes in a way that decides who serves.
	version uint64
	serving map[serversKey]*serversList
}

// pool is a pool's members, queue and retry budget.
type pool struct {
	compiled *policy.CompiledPool
	members  []*target
	queue    *fairQueue
	// drained measures the cost sent while requests wait, which is the pool's capacity.
	throughput meter
	// offered measures the requests that arrive.
	arrivals meter
	// learned is the rate of prefill seen at its members, in tokens per second; zero before the first.
	learned float64
	// firsts measures how long answers take to begin.
	firstTokens firstTokenStats
	retries     retryBudget
	// releases are those of its targets that were seen, newest the last one seen, which gets
	// no requests until newestFrom.
	releases   map[string]bool
	newest     string
	newestFrom time.Time
}

// Option changes a [Board] at its construction.
type Option func(*Board)

// WithSeed sets the seed of the board's random choices.
func WithSeed(seed uint64) Option {
	return func(b *Board) { b.rng = rand.New(rand.NewPCG(seed, seed)) }
}

// WithPlacer sets the placement policy; without it [Predict] places.
func WithPlacer(p Placer) Option {
	return func(b *Board) { b.place = p }
}

// WithEventHandler sets the function that gets the board's events.
func WithEventHandler(f func(event.Event)) Option {
	return func(b *Board) { b.onEvent = f }
}

// WithZone sets the failure domain that this router runs in; services in it are preferred.
func WithZone(zone string) Option {
	return func(b *Board) { b.zone = zone }
}

// WithRouters sets how many routers there are as far as the settings tell, which holds
// until peers are heard of.
func WithRouters(n int) Option {
	return func(b *Board) { b.routers = max(1, n) }
}

// WithPartialPeerList says that the settings name only some of the routers, so that one which has
// met no other cannot tell how many share what is bounded for all.
func WithPartialPeerList() Option {
	return func(b *Board) { b.partialPeerList = true }
}

// WithMaxPendingPrefill sets the prefill that this router may have waiting at one engine,
// where callers are spread too unevenly over routers for an even part to do.
func WithMaxPendingPrefill(d time.Duration) Option {
	return func(b *Board) { b.maxPendingPrefill = d }
}

// WithReusedAddresses says that an address may become another pool's: one at which an
// unknown incarnation answers gets no work until that incarnation is reported.
func WithReusedAddresses() Option {
	return func(b *Board) { b.reused = true }
}

// WithPlaced sets the function that hears at once of each request that takes its
// target long; it must not block.
func WithPlaced(f func(PlacementReport)) Option {
	return func(b *Board) { b.onPlaced = f }
}

// WithMinRetryAfter sets the least time a caller is told to stay away.
func WithMinRetryAfter(d time.Duration) Option {
	return func(b *Board) { b.minRetryAfter = d }
}

// NewBoard returns a board without a configuration, which refuses every request.
func NewBoard(opts ...Option) *Board {
	b := &Board{
		rng:      rand.New(rand.NewPCG(1, 1)),
		place:    Predict,
		onEvent:  func(event.Event) {},
		targets:  make(map[netip.AddrPort]*target),
		slots:    make(map[uint32]*target),
		marks:    make(map[TargetKey]bool),
		pools:    make(map[string]*pool),
		orgs:     make(map[string]*orgState),
		requests: make(map[string]*request),
		prefixes: newPrefixIndex(),

		partHolders:   make(partIndex),
		shared:        newSharedParts(),
		hot:           newHotParts(),
		firstParts:    newGenerationalMap[Block, meter](maxFirstParts),
		kept:          newGenerationalMap[Block, keptPrefix](maxKeptPrefixes),
		routers:       1,
		recentRouters: windowedMax{value: 1},
		limitSharers:  windowedMax{value: 1},
		peers:         make(map[string]PeerState),
		serving:       make(map[serversKey]*serversList),
		named:         make(map[string]spans),

		minRetryAfter: defaultMinRetryAfter,
		onPlaced:      func(PlacementReport) {},
		crashes:       newCrashTracker(),
		reserve:       noTargetIndex{},
		rollouts:      make(map[string]*rollout),
		exposure:      defaultExposure * exposureFraction,
		pendingFills:  make(map[fillKey]pendingFill),
		unlisted:      make(map[netip.AddrPort]unlistedHints),
	}
	for _, opt := range opts {
		opt(b)
	}
	b.reserveRounding = b.rng.Float64()
	b.soleRouter, b.configuredRouters = b.routers == 1, b.routers
	return b
}

func (b *Board) emit(e event.Event) { b.onEvent(e) }

// Adopt puts a configuration in force; one of a lower revision than the present is ignored.
func (b *Board) Adopt(now time.Time, snap *policy.Snapshot) []Action {
	if b.snap != nil && snap.Revision < b.snap.Revision {
		return nil
	}
	if b.begun.IsZero() {
		b.begun = now
	}
	b.snap = snap
	clear(b.serving)
	b.adoptPools(now)
	b.assignPools()
	for _, t := range b.targets {
		if !t.horizon.learned {
			t.horizon = newHorizon(b.baseHorizon())
		}
	}
	return b.dispatch(now)
}

// adoptPools keeps the queues of pools that stay and moves no request between pools.
func (b *Board) adoptPools(now time.Time) {
	for _, cp := range b.snap.Pools() {
		p, ok := b.pools[cp.Name]
		if !ok {
			p = &pool{queue: newFairQueue(), throughput: newMeter(throughputWindow), arrivals: newMeter(demandWindow), retries: newRetryBudget(now), releases: make(map[string]bool)}
			p.throughput.at, p.arrivals.at = now, now
			b.pools[cp.Name] = p
		}
		p.compiled = cp
	}
	for name := range b.pools {
		if _, ok := b.snap.Pool(name); !ok && !b.poolUsed(name) {
			delete(b.pools, name)
		}
	}
}

func (b *Board) poolUsed(name string) bool {
	for _, r := range b.requests {
		if r.Pool == name {
			return true
		}
	}
	return false
}

// assignPools matches the targets' labels against the pools' selectors.
func (b *Board) assignPools() {
	b.version++
	for _, p := range b.pools {
		p.members = p.members[:0]
	}
	for _, t := range b.targets {
		t.pools = t.pools[:0]
		for _, p := range b.pools {
			if p.compiled.Matches(t.labels) {
				t.pools = append(t.pools, p)
				p.members = append(p.members, t)
			}
		}
	}
	for _, p := range b.pools {
		sortTargets(p.members)
	}
}

// Revision returns the revision in force, or zero if there is none.
func (b *Board) Revision() int64 {
	if b.snap == nil {
		return 0
	}
	return b.snap.Revision
}

// Snapshot returns the configuration in force, or nil.
func (b *Board) Snapshot() *policy.Snapshot { return b.snap }

// Close makes the board refuse new requests with r; nil opens it again.
func (b *Board) Close(r *Refusal) { b.closed = r }

// Closed reports whether the board refuses new requests.
func (b *Board) Closed() bool { return b.closed != nil }

// Requests returns the number of requests that are queued or running.
func (b *Board) Requests() int { return len(b.requests) }

func (b *Board) baseHorizon() time.Duration {
	if b.snap == nil {
		return maxHorizon
	}
	return time.Duration(b.snap.Config.Placement.Horizon)
}

// hashAddr gives each target a number that all routers agree on.
func hashAddr(a netip.AddrPort) uint64 { return xxh3.HashString(a.String()) }

// Tick lets time pass: requests whose wait is over are refused, held-back retries go on.
func (b *Board) Tick(now time.Time) []Action {
	b.sweepCrashes(now)
	b.unloadIdle(now)
	var out []Action
	for _, r := range b.requests {
		switch {
		case !now.Before(r.Deadline):
			out = append(out, b.expire(now, r)...)
		case r.attempt == nil && !now.Before(r.queueDeadline):
			out = append(out, b.refuse(now, r, CauseOverload, b.pools[r.Pool].noTargetReason(now))...)
		}
	}
	for _, t := range b.targets {
		if len(t.attempts) > 0 {
			out = append(out, b.cancelStalled(now, t)...)
			out = append(out, b.withdrawOutdated(now, t)...)
		}
	}
	return append(out, b.dispatch(now)...)
}

// expire ends a request at its deadline.
func (b *Board) expire(now time.Time, r *request) []Action {
	var out []Action
	if r.attempt != nil {
		out = append(out, Cancel{Request: r.ID, Attempt: r.attempt.ID})
		r.verdict = MayHaveRun
	}
	return append(out, b.refuse(now, r, CauseDeadline, "the request's time is over")...)
}

// TargetView is what operators see of a target.
type TargetView struct {
	Addr        netip.AddrPort    `json:"addr"`
	Name        string            `json:"name"`
	Incarnation Incarnation       `json:"incarnation"`
	Weights     map[string]string `json:"weights,omitempty"`
	Pools       []string          `json:"pools"`
	Leaving     bool              `json:"leaving"`
	Failing     bool              `json:"failing"`
	InFlight    int               `json:"inFlight"`
	Horizon     time.Duration     `json:"horizonNs"`
	// Limit is the requests a second that the target takes from all routers, nil where it names none.
	Limit *float64 `json:"limitPerSecond,omitempty"`
	// Rests is for how much longer it wants no requests of this router.
	Rests time.Duration `json:"restsNs,omitempty"`
}

// View returns the targets in the order of their addresses.
func (b *Board) View(now time.Time) []TargetView {
	all := make([]*target, 0, len(b.targets))
	for _, t := range b.targets {
		all = append(all, t)
	}
	sortTargets(all)
	out := make([]TargetView, 0, len(all))
	for _, t := range all {
		v := TargetView{
			Addr: t.addr, Name: t.name(), Incarnation: t.incarnation, Weights: t.weights(),
			Leaving: t.draining, Failing: t.failing, InFlight: len(t.attempts), Horizon: t.horizon.age,
		}
		if t.limit.named {
			limit := t.limit.perSecond
			v.Limit = &limit
		}
		if t.backingOff(now) {
			v.Rests = t.backoffUntil.Sub(now)
		}
		for _, p := range t.pools {
			v.Pools = append(v.Pools, p.compiled.Name)
		}
		out = append(out, v)
	}
	return out
}

// Queued returns the number of requests waiting in each pool.
func (b *Board) Queued() map[string]int {
	out := make(map[string]int, len(b.pools))
	for name, p := range b.pools {
		out[name] = p.queue.n
	}
	return out
}

// InFlight returns the number of this router's attempts at a target.
func (b *Board) InFlight(addr netip.AddrPort) int {
	if t, ok := b.targets[addr]; ok {
		return len(t.attempts)
	}
	return 0
}
