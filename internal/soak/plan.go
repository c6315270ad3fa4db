package soak

import (
	"cmp"
	"encoding/json"
	"math/rand/v2"
	"os"
	"slices"
	"time"

	"github.com/zeebo/errs/v2"

	"github.com/pathhead/pathhead/platform/platformtest"
)

// Kind is the kind of a step: a fault or a planned change.
type Kind string

// The kinds of steps.
const (
	// Pause suspends a node's process and resumes it, Kill kills and restarts it, Stop
	// shuts it down gracefully and restarts it.
	Pause Kind = "pause"
	Kill  Kind = "kill"
	Stop  Kind = "stop"
	// ReloadSettings rewrites a node's settings file and sends SIGHUP to the node, AddNode
	// starts an additional node.
	ReloadSettings Kind = "hang-up"
	AddNode        Kind = "join"
	// StoreFails makes the store fail for one node or for all of them. StoreForgets
	// makes the store drop its change history, so that readers of changes must start over.
	StoreFails   Kind = "store-fails"
	StoreForgets Kind = "store-forgets"
	// StoreRollback reverts the store to its state at the time Length ago, in a new era.
	StoreRollback Kind = "store-returns"
	// StoreLink impairs one node's link to the store, TargetLink the links of all nodes to a
	// target.
	StoreLink  Kind = "store-link"
	TargetLink Kind = "target-link"
	// NodeCutOff cuts one node off from all targets: bytes are held back in both directions, or
	// connections are reset, new ones as soon as they are open.
	NodeCutOff Kind = "node-cut-off"
	// TargetCrash ends a target abruptly and starts another in its slot. TargetDrain drains a
	// target and replaces it. TargetUnlist replaces a target that is removed from the list
	// without a drain. TargetGrey makes a target fail a fraction of its requests.
	TargetCrash Kind = "target-crash"
	// TargetRestart ends a target abruptly and restarts it under the same id, with a clock
	// that is ahead or behind.
	TargetRestart Kind = "target-again"
	TargetDrain   Kind = "target-drain"
	TargetUnlist  Kind = "target-hide"
	TargetGrey    Kind = "target-grey"
	// TargetRelease drains an engine and replaces it by one of the other release.
	TargetRelease Kind = "target-release"
	// SuspectRequest sends copies of one request that crashes each engine that begins to run it.
	SuspectRequest Kind = "request-deadly"
	// TargetHintsLimit, TargetHintsDraining and TargetHintsBackoff make a target announce in
	// its answers a limit, that it drains, or a back-off.
	TargetHintsLimit    Kind = "target-names-limit"
	TargetHintsDraining Kind = "target-says-leaving"
	TargetHintsBackoff  Kind = "target-rests"
	// OrdersLate makes a target leave orders unanswered and execute them late.
	OrdersLate Kind = "orders-late"
	// AnnounceWeights announces new weights, Reconfigure writes a new configuration.
	AnnounceWeights Kind = "name-weights"
	Reconfigure     Kind = "reconfigure"
)

// Step is one fault or planned change, and the time at which it begins.
type Step struct {
	At   time.Duration
	Kind Kind
	// Subject is the index of the node or target affected; AllNodes stands for all nodes.
	Subject int
	// Length is the duration of the fault, or the time until the process starts again.
	Length time.Duration
	Link   LinkState           `json:",omitempty"`
	Outage platformtest.Outage `json:",omitempty"`
}

// AllNodes is the subject of a step that affects all nodes.
const AllNodes = -1

// Plan is the sequence of steps that a seed determines, with the size of the cluster.
type Plan struct {
	Seed uint64
	// Cause describes the fault that a stored plan revealed.
	Cause string `json:",omitempty"`
	// Length is the time during which steps begin, Tail the time for which callers continue
	// after all steps have ended.
	Length, Tail time.Duration
	Size         Size
	Steps        []Step
}

// Size gives the numbers of nodes, targets and callers of a cluster.
type Size struct {
	Nodes, Engines, Plain, Callers int
}

// DefaultSize is a small cluster with enough capacity that some nodes can be down without
// overloading the others.
var DefaultSize = Size{Nodes: 5, Engines: 9, Plain: 3, Callers: 10}

// DefaultTail covers the recovery bound and the time to observe that service has recovered.
const DefaultTail = 16 * time.Second

// pattern is the distribution of the steps of one kind over time and subjects.
type pattern int

const (
	// Scattered steps occur at random times, consecutive steps affect one subject after the
	// other, a burst affects most nodes at once, and repeated steps affect one subject several
	// times.
	scattered pattern = iota
	consecutive
	burst
	repeated
	patterns
)

// kindSettings holds a kind with the probability that a plan contains it, the bounds of the
// length of its steps, and their maximum number.
type kindSettings struct {
	kind        Kind
	probability float64
	minLength   time.Duration
	maxLength   time.Duration
	maxCount    int
}

// kindTable lists the kinds from which plans are generated. The probabilities give a plan
// about five kinds, and leave half of the plans without a fault of a link or the store, since
// such a fault exempts nodes from most bounds for a while. Pauses and restarts last up to a
// few seconds, close to the time after which nodes must be in contact again (3 s). Late
// orders are delayed for longer than the bound on weights (10 s).
var kindTable = []kindSettings{
	{Pause, 0.35, 200 * time.Millisecond, 5 * time.Second, 5},
	{Kill, 0.4, 50 * time.Millisecond, 3 * time.Second, 5},
	{Stop, 0.4, 50 * time.Millisecond, time.Second, 3},
	{ReloadSettings, 0.2, 0, 0, 3},
	{AddNode, 0.25, 0, 0, 2},
	{StoreFails, 0.25, 500 * time.Millisecond, 12 * time.Second, 3},
	{StoreForgets, 0.15, 0, 0, 2},
	{StoreLink, 0.25, 300 * time.Millisecond, 12 * time.Second, 4},
	{TargetLink, 0.2, 300 * time.Millisecond, 4 * time.Second, 4},
	{TargetCrash, 0.3, 300 * time.Millisecond, 4 * time.Second, 5},
	{TargetDrain, 0.35, 3 * time.Second, 6 * time.Second, 3},
	{TargetUnlist, 0.2, 3 * time.Second, 6 * time.Second, 2},
	{TargetGrey, 0.3, 2 * time.Second, 8 * time.Second, 5},
	{OrdersLate, 0.5, 10 * time.Second, 30 * time.Second, 5},
	{AnnounceWeights, 0.7, 0, 0, 5},
	{Reconfigure, 0.5, 0, 0, 5},
	{TargetRestart, 0.3, 100 * time.Millisecond, 3 * time.Second, 6},
	{SuspectRequest, 0.3, 4 * time.Second, 12 * time.Second, 2},
	{TargetHintsLimit, 0.4, 4 * time.Second, 15 * time.Second, 4},
	{TargetHintsDraining, 0.4, time.Second, 6 * time.Second, 3},
	{TargetHintsBackoff, 0.4, 3 * time.Second, 10 * time.Second, 4},
	{StoreRollback, 0.2, 300 * time.Millisecond, 8 * time.Second, 3},
	{NodeCutOff, 0.3, time.Second, 12 * time.Second, 3},
	{TargetRelease, 0.3, time.Second, 4 * time.Second, 6},
}

// links and outages list the faults of links and of the store. A repeated entry has a higher
// probability.
var (
	links = []LinkState{Delayed, CutUp, CutDown, Stall, Reset}
	// nodeCutOffs are the faults of one node's links to all targets.
	nodeCutOffs = []LinkState{Cut, Reset}
	outages     = []platformtest.Outage{
		platformtest.Unavailable, platformtest.Unavailable, platformtest.Resetting, platformtest.Resetting, platformtest.LosingAnswers, platformtest.LateWrites,
		platformtest.Slow, platformtest.RateLimited, platformtest.Garbling,
	}
)

// focuses are groups of kinds that are likely to reveal faults in combination. A plan uses
// one of them, or none.
var focuses = [][]Kind{
	nil,
	{AnnounceWeights, OrdersLate, Kill, Stop, Pause, AddNode},
	{StoreFails, StoreLink, Kill, Pause, AnnounceWeights},
	{Reconfigure, StoreFails, StoreLink, Pause, AddNode},
	{TargetDrain, TargetUnlist, TargetCrash, TargetRestart, Stop, Reconfigure},
}

// focusProbability is the probability of each kind of the focus. otherKindsFactor reduces
// the probability of the other kinds.
const (
	focusProbability = 0.8
	otherKindsFactor = 0.3
)

// GeneratePlan returns the plan that a seed determines.
func GeneratePlan(seed uint64, length time.Duration, size Size) Plan {
	rng := rand.New(rand.NewPCG(seed, 0))
	p := Plan{Seed: seed, Length: length, Tail: DefaultTail, Size: size}
	focus := focuses[rng.IntN(len(focuses))]
	for _, c := range kindTable {
		probability := c.probability
		switch {
		case slices.Contains(focus, c.kind):
			probability = focusProbability
		case focus != nil:
			probability *= otherKindsFactor
		}
		if rng.Float64() < probability {
			p.Steps = append(p.Steps, c.generateSteps(rng, length, size)...)
		}
	}
	slices.SortStableFunc(p.Steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return p
}

// minGap and maxGap bound the time between successive steps, burstGap the time between those
// of a burst.
const (
	minGap   = time.Second
	maxGap   = 6 * time.Second
	burstGap = 300 * time.Millisecond
)

// generateSteps returns the steps of one kind for a plan.
func (c kindSettings) generateSteps(rng *rand.Rand, length time.Duration, size Size) []Step {
	within := func(least, most time.Duration) time.Duration { return least + randomDuration(rng, most-least) }
	order := pattern(rng.IntN(int(patterns)))
	if c.kind == OrdersLate {
		// A single target with late orders hardly delays a weights rolling update.
		order = burst
	}
	subject, count := rng.IntN(size.Nodes+size.Engines), 1+rng.IntN(c.maxCount)
	switch {
	case c.kind == OrdersLate:
		count = size.Engines
	case order == burst && c.maxCount > 2:
		count = size.Nodes - rng.IntN(2)
	}
	at, gap := within(0, length*2/3), within(minGap, maxGap)
	if c.kind == OrdersLate || c.kind == AnnounceWeights {
		// The rolling updates that these steps start or delay take longer than a third of a plan.
		at /= 3
	}
	var out []Step
	for range count {
		s := Step{At: at, Kind: c.kind, Subject: subject, Length: within(c.minLength, c.maxLength)}
		c.setDetails(rng, &s)
		switch order {
		case scattered:
			at, subject = within(0, length*4/5), rng.IntN(size.Nodes+size.Engines)
		case consecutive:
			at, subject = at+gap, subject+1
		case burst:
			at, subject = at+randomDuration(rng, burstGap), subject+1
		case repeated:
			at += gap
		}
		if c.kind == AnnounceWeights || c.kind == Reconfigure {
			at = max(at, s.At+gap)
		}
		if s.At < length {
			out = append(out, s)
		}
	}
	return out
}

// randomDuration returns a random duration of at least zero and below a bound.
func randomDuration(rng *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(rng.Int64N(int64(max(1, limit))))
}

// setDetails sets the fields of a step that only some kinds use.
func (c kindSettings) setDetails(rng *rand.Rand, s *Step) {
	switch c.kind {
	case StoreFails:
		s.Outage = outages[rng.IntN(len(outages))]
		if rng.IntN(2) == 0 {
			s.Subject = AllNodes
		}
	case StoreLink, TargetLink:
		s.Link = links[rng.IntN(len(links))]
	case NodeCutOff:
		s.Link = nodeCutOffs[rng.IntN(len(nodeCutOffs))]
	case OrdersLate, Pause, Kill, Stop, ReloadSettings, AddNode, StoreForgets, StoreRollback, TargetCrash, TargetRestart, TargetDrain, TargetUnlist, TargetGrey, TargetRelease, SuspectRequest,
		TargetHintsLimit, TargetHintsDraining, TargetHintsBackoff, AnnounceWeights, Reconfigure:
	}
}

// ReadPlan reads a plan from a JSON file.
func ReadPlan(file string) (Plan, error) {
	var p Plan
	data, err := os.ReadFile(file)
	if err != nil {
		return p, errs.Wrap(err)
	}
	if err := json.Unmarshal(data, &p); err != nil {
		return p, errs.Errorf("%s: %w", file, err)
	}
	return p, nil
}
