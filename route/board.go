package route

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/pathhead/pathhead/event"
	"github.com/pathhead/pathhead/policy"
)

// Board holds the routing state of one router: targets, pools, queued and running requests, and
// what is known of the targets' caches. Its methods are not safe for concurrent use; the caller
// serializes them with one lock.
type Board struct {
	rng     *rand.Rand
	place   Placer
	onEvent func(event.Event)

	snap    *policy.Snapshot
	targets map[netip.AddrPort]*target
	// slots maps the numbers by which prefixes refers to targets; lastSlot is the last one given.
	slots    map[uint32]*target
	lastSlot uint32
	// marks holds the targets that are known to be draining.
	marks map[TargetKey]bool
	pools map[string]*pool
	// unconfigured are the splits of pools that the configuration does not have, or not yet.
	unconfigured map[string]ReleaseHistory
	orgs         map[string]*orgState
	requests     map[string]*request
	prefixes     *prefixIndex
	// partHolders indexes targets by the named parts that their cache events report.
	partHolders partIndex
	shared      sharedParts
	hot         hotParts
	// firstParts measures the rate of requests by the first part of their prompt.
	firstParts *generationalMap[Block, meter]
	fills      []Fill
	// kept holds the prefixes that are requested often or are in an external KV store.
	// newlyKept are those to report to peers, and exporting counts the exports in progress.
	kept      *generationalMap[Block, keptPrefix]
	newlyKept []Kept
	exporting int
	routers   int
	// begun is when the first configuration was adopted.
	begun time.Time
	// recentRouters is the number of routers that may have spent retries recently.
	// reserveRounding is the fraction of a retry by which this router rounds up its share of
	// the retry reserve.
	recentRouters   windowedMax
	reserveRounding float64
	// soleRouter is set if the settings name no other router; configuredRouters is the number
	// of routers that they name.
	soleRouter        bool
	configuredRouters int
	// partialPeerList is set if the settings name only some of the other routers.
	partialPeerList bool
	// limitReporters is the number of other routers whose latest state, received at
	// limitsReportedAt, contained their usage of limits.
	limitReporters   int
	limitsReportedAt time.Time
	// limitSharers is the number of routers that may be using limits.
	limitSharers windowedMax
	peers        map[string]PeerState
	// ratesDropped and peerRatesDropped are the numbers of targets whose observed rates this
	// router and its peers left out of their reports.
	ratesDropped, peerRatesDropped int
	closed                         *Refusal
	drain                          *Drain
	// round numbers the scans that mark the targets they visit, and scratch is the reused slice
	// of candidates.
	round     uint64
	scratch   []candidate
	staleness *Staleness
	// named holds, for each model, the newest weights over time.
	named map[string]spans
	// onPlaced is called for each request that keeps its target busy for long.
	onPlaced func(PlacementReport)
	// pendingFills are the blocks that targets are prefilling.
	pendingFills map[fillKey]pendingFill
	admissions   AdmissionStats
	// announcedAt is when peers last announced requests that they sent.
	announcedAt time.Time
	// disabled holds the mechanisms that are switched off for experiments.
	disabled Mechanisms
	// backoffUntil is the latest end of a back-off that a target requested.
	backoffUntil time.Time
	// brittleUntil is the time until which pools are taken to have brittle targets. position is this
	// router's place among those that divide them.
	brittleUntil time.Time
	position     Position
	// ownID identifies this router if it has no name.
	ownID uint64
	// unlisted holds the hints of targets that left the list, which apply again if they return.
	unlisted map[netip.AddrPort]unlistedHints
	// returns holds when refused requests were told to return.
	returns *generationalMap[Fingerprint, promise]
	// crashes tracks which targets crashed while they ran which requests.
	crashes crashTracker
	// notices are those about targets that routers exchange.
	notices targetNotices
	// rollouts holds the newest roll-out of each pool.
	rollouts map[string]*rollout
	// handoffs is the state of handing requests over to other routers.
	handoffs handoffs
	// reserve is the index from which the targets of large pools are loaded. holding is the set
	// of targets that are held back, as set last.
	reserve TargetIndex
	holding map[TargetKey]bool
	// probeBudget bounds the probes of failing targets.
	probeBudget bucket
	// retiredAt is when unused targets were last unloaded.
	retiredAt time.Time
	// exposure is the share of the requests that a release on trial receives.
	exposure float64
	// zone is the failure domain of this router, or empty if placement ignores distance.
	zone string
	// maxPendingPrefill bounds the prefill that this router may have pending at one engine.
	// Zero means an equal share of the bound for all routers.
	maxPendingPrefill time.Duration
	// reused is set if an address may be reassigned to another pool.
	reused bool
	// minRetryAfter is the lower bound of Retry-After.
	minRetryAfter time.Duration
	// version grows with every change of a target's state that affects which targets serve a
	// model; it invalidates serving.
	version uint64
	serving map[serversKey]*serversList
}

// pool holds a pool's members, queue and retry budget.
type pool struct {
	compiled *policy.CompiledPool
	members  []*target
	queue    *fairQueue
	// throughput measures the cost of the requests sent while others wait, which is the pool's
	// capacity.
	throughput meter
	// arrivals measures the rate of arriving requests. askedAt is when the last one arrived,
	// including those that were refused on arrival.
	arrivals meter
	askedAt  time.Time
	// learned is the prefill rate of the members, in tokens per second, or zero before the first
	// observation. latency is the part of the time to a first token that does not depend on the
	// prompt's length.
	learned float64
	latency fixedLatency
	// learnedAt is when learned was last computed.
	learnedAt time.Time
	// middle is the median rate of the usable members, or zero if it has to be computed.
	middle float64
	// firstTokens tracks how long answers take to begin.
	firstTokens firstTokenStats
	// asked measures the demand for prefill, and load is the joint load of the engines.
	asked demandMeter
	load  poolLoad
	// urgentAim is the shortest aim of the routes to the pool, or zero if none states one.
	urgentAim time.Duration
	// forecasts compares predicted with actual times to first token.
	forecasts forecasts
	retries   retryBudget
	// joint is the demand for the pool at all routers.
	joint jointDemand
	// link is what was observed of the path to the members.
	link poolLink
	// brittle is what is known of the pool's brittle targets.
	brittle brittlePool
	// releases holds every release seen among the pool's targets. newest is the one seen last,
	// which gets no requests until newestFrom.
	releases   map[string]bool
	newest     string
	newestFrom time.Time
	// streams is what is known of the releases at which streams begin.
	streams releaseState
}

// Option configures a [Board].
type Option func(*Board)

// WithSeed sets the seed of the board's random choices.
func WithSeed(seed uint64) Option {
	return func(b *Board) { b.rng = rand.New(rand.NewPCG(seed, seed)) }
}

// WithPlacer sets the placement policy. The default is [Predict].
func WithPlacer(p Placer) Option {
	return func(b *Board) { b.place = p }
}

// WithEventHandler sets the function that receives the board's events.
func WithEventHandler(f func(event.Event)) Option {
	return func(b *Board) { b.onEvent = f }
}

// WithZone sets the failure domain of this router. Targets in the same failure domain are
// preferred.
func WithZone(zone string) Option {
	return func(b *Board) { b.zone = zone }
}

// WithRouters sets the number of routers that the settings name, which is used until peers are
// known.
func WithRouters(n int) Option {
	return func(b *Board) { b.routers = max(1, n) }
}

// WithPartialPeerList declares that the settings name only some of the routers. A router that
// has not reached any peer then cannot tell how many routers share a bound.
func WithPartialPeerList() Option {
	return func(b *Board) { b.partialPeerList = true }
}

// WithMaxPendingPrefill sets the prefill that this router may have pending at one engine. It is
// for callers that are spread too unevenly over the routers for an equal share to suffice.
func WithMaxPendingPrefill(d time.Duration) Option {
	return func(b *Board) { b.maxPendingPrefill = d }
}

// WithReusedAddresses declares that an address may be reassigned to another pool: a target that
// answers with an unknown incarnation gets no requests until that incarnation is reported.
func WithReusedAddresses() Option {
	return func(b *Board) { b.reused = true }
}

// WithPlaced sets the function that is called for each request that keeps its target busy for
// long. It must not block.
func WithPlaced(f func(PlacementReport)) Option {
	return func(b *Board) { b.onPlaced = f }
}

// WithMinRetryAfter sets the lower bound of Retry-After.
func WithMinRetryAfter(d time.Duration) Option {
	return func(b *Board) { b.minRetryAfter = d }
}

// NewBoard returns a board that has no configuration and therefore refuses every request.
func NewBoard(opts ...Option) *Board {
	b := &Board{
		rng:          rand.New(rand.NewPCG(1, 1)),
		place:        Predict,
		onEvent:      func(event.Event) {},
		targets:      make(map[netip.AddrPort]*target),
		slots:        make(map[uint32]*target),
		marks:        make(map[TargetKey]bool),
		pools:        make(map[string]*pool),
		unconfigured: make(map[string]ReleaseHistory),
		orgs:         make(map[string]*orgState),
		requests:     make(map[string]*request),
		prefixes:     newPrefixIndex(),

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
		handoffs:      newHandoffs(),
		returns:       newGenerationalMap[Fingerprint, promise](maxReturns),
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

// Adopt applies a configuration. A revision lower than the current one is ignored.
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
	b.observeReleases()
	for _, t := range b.targets {
		if !t.horizon.learned {
			t.horizon = newHorizon(b.baseHorizon())
		}
	}
	return b.dispatch(now)
}

// adoptPools adds, updates and removes pools. Remaining pools keep their queues, and no request
// moves to another pool.
func (b *Board) adoptPools(now time.Time) {
	aims := urgentAims(b.snap.Config)
	for _, cp := range b.snap.Pools() {
		p, ok := b.pools[cp.Name]
		if !ok {
			p = &pool{queue: newFairQueue(), throughput: newMeter(throughputWindow), arrivals: newMeter(demandWindow), retries: newRetryBudget(now), releases: make(map[string]bool), asked: newDemandMeter(now), joint: newJointDemand()}
			p.throughput.at, p.arrivals.at = now, now
			b.pools[cp.Name] = p
			if h, known := b.unconfigured[cp.Name]; known {
				b.setReleases(p, cp.Name, h)
				delete(b.unconfigured, cp.Name)
			}
		}
		p.compiled, p.urgentAim = cp, aims[cp.Name]
	}
	for name := range b.pools {
		if _, ok := b.snap.Pool(name); !ok && !b.poolUsed(name) {
			b.keepUnconfigured(name, b.pools[name].streams.history)
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
		p.middle = 0
	}
}

// Revision returns the revision of the current configuration, or zero if there is none.
func (b *Board) Revision() int64 {
	if b.snap == nil {
		return 0
	}
	return b.snap.Revision
}

// Snapshot returns the current configuration, or nil if there is none.
func (b *Board) Snapshot() *policy.Snapshot { return b.snap }

// Close makes the board refuse new requests with r; nil reopens it.
func (b *Board) Close(r *Refusal) { b.closed = r }

// Closed reports whether the board refuses new requests.
func (b *Board) Closed() bool { return b.closed != nil }

// Requests returns the number of queued and running requests.
func (b *Board) Requests() int { return len(b.requests) }

func (b *Board) baseHorizon() time.Duration {
	if b.snap == nil {
		return maxHorizon
	}
	return time.Duration(b.snap.Config.Placement.Horizon)
}

// hashAddr returns a hash of a target's address that is the same on all routers.
func hashAddr(a netip.AddrPort) uint64 { return xxh3.HashString(a.String()) }

// Tick processes the passage of time: it refuses requests that have waited for too long and
// sends retries whose backoff is over.
func (b *Board) Tick(now time.Time) []Action {
	b.sweepCrashes(now)
	b.unloadIdle(now)
	out := b.sendParked(now)
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

// EndAll ends all requests, queued or running, since this router is about to stop.
func (b *Board) EndAll(now time.Time, why Refusal) []Action {
	var out []Action
	for _, r := range b.requests {
		out = append(out, b.end(now, r, why.Cause, why.Detail)...)
	}
	return out
}

// expire ends a request at its deadline.
func (b *Board) expire(now time.Time, r *request) []Action {
	return b.end(now, r, CauseDeadline, "the request's time is over")
}

// end ends a request and cancels its attempt.
func (b *Board) end(now time.Time, r *request, cause Cause, detail string) []Action {
	var out []Action
	if r.attempt != nil {
		b.recordSilence(now, r.attempt)
		out = append(out, Cancel{Request: r.ID, Attempt: r.attempt.ID})
		r.verdict = MayHaveRun
	}
	return append(out, b.refuse(now, r, cause, detail)...)
}

// TargetView describes a target to operators.
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
	// PrefillRate is the prefill rate learned from answers, in tokens per second; zero if there is
	// none.
	PrefillRate float64 `json:"prefillRate,omitempty"`
	// Limit is the number of requests per second that the target accepts from all routers
	// together, or nil if it states none.
	Limit *float64 `json:"limitPerSecond,omitempty"`
	// Brittle is the number of requests per second that the target can reject, or nil if it did not
	// announce that it is brittle.
	Brittle *float64 `json:"brittlePerSecond,omitempty"`
	// Rests is the remaining back-off that the target requested from this router.
	Rests time.Duration `json:"restsNs,omitempty"`
}

// View returns all targets, ordered by address.
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
			PrefillRate: t.learned,
		}
		if t.limit.named {
			limit := t.limit.perSecond
			v.Limit = &limit
		}
		if t.brittle.named {
			bearable := t.brittle.maxRejected
			v.Brittle = &bearable
		}
		if t.backingOff(now) {
			v.Rests = later(t.backoffUntil, t.loadingUntil).Sub(now)
		}
		for _, p := range t.pools {
			v.Pools = append(v.Pools, p.compiled.Name)
		}
		out = append(out, v)
	}
	return out
}

// Queued returns the number of queued requests by pool.
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
