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

// Kind is a kind of fault, or of change, that a plan has.
type Kind string

// The kinds of steps.
const (
	// Pause stops a node's process and continues it, Kill ends it and starts it
	// again, Stop ends it as planned and starts it again.
	Pause Kind = "pause"
	Kill  Kind = "kill"
	Stop  Kind = "stop"
	// ReloadSettings writes a node's settings anew and says so by a signal, Join adds a node.
	ReloadSettings Kind = "hang-up"
	AddNode        Kind = "join"
	// StoreFails has the store fail at a node's door, or at all of them.
	StoreFails   Kind = "store-fails"
	StoreForgets Kind = "store-forgets"
	// StoreRollback has the store come back as it was a length ago, in a new era.
	StoreRollback Kind = "store-returns"
	// StoreLink impairs a node's link to the store, TargetLink all nodes' links to a target.
	StoreLink  Kind = "store-link"
	TargetLink Kind = "target-link"
	// TargetCrash ends a target and starts it again, TargetDrain has a new one take
	// its place, TargetUnlist does so without a word, TargetGrey has it fail a part of its requests.
	TargetCrash Kind = "target-crash"
	// TargetRestart ends a target and starts it again under its id, by whatever clock.
	TargetRestart Kind = "target-again"
	TargetDrain   Kind = "target-drain"
	TargetUnlist  Kind = "target-hide"
	TargetGrey    Kind = "target-grey"
	// SuspectRequest has copies of one request come, under which each engine ends that begins to run it.
	SuspectRequest Kind = "request-deadly"
	// TargetHintsLimit, TargetHintsDraining and TargetHintsBackoff have a target say in its answers what it needs.
	TargetHintsLimit    Kind = "target-names-limit"
	TargetHintsDraining Kind = "target-says-leaving"
	TargetHintsBackoff  Kind = "target-rests"
	// OrdersLate has a target leave orders unanswered and carry them out late.
	OrdersLate Kind = "orders-late"
	// AnnounceWeights names new weights, Reconfigure declares a new configuration.
	AnnounceWeights Kind = "name-weights"
	Reconfigure     Kind = "reconfigure"
)

// Step is one fault or change.
type Step struct {
	At   time.Duration
	Kind Kind
	// Subject is the place of the node or target that it hits; Everyone hits all.
	Subject int
	// Length is how long it holds, or until the process is started again.
	Length time.Duration
	Link   LinkState           `json:",omitempty"`
	Outage platformtest.Outage `json:",omitempty"`
}

// AllNodes is the subject of a step that hits all nodes.
const AllNodes = -1

// Plan is what a seed determines.
type Plan struct {
	Seed uint64
	// Cause says of a plan that is kept what it showed.
	Cause string `json:",omitempty"`
	// Length is how long faults come, Tail how long callers go on after the last.
	Length, Tail time.Duration
	Size         Size
	Steps        []Step
}

// Size is the size of an installation.
type Size struct {
	Nodes, Engines, Plain, Callers int
}

// DefaultSize is a small fleet, of which some nodes can be down without the others being full.
var DefaultSize = Size{Nodes: 5, Engines: 9, Plain: 3, Callers: 10}

// DefaultTail is the time for recovery, and some to see that it came.
const DefaultTail = 16 * time.Second

// pattern is how the steps of one kind follow on each other.
type pattern int

const (
	// scattered steps come at any time, consecutive ones hit the subjects one after
	// the other, herd ones hit most at once, again ones hit one several times.
	scattered pattern = iota
	consecutive
	burst
	repeated
	patterns
)

// kindSettings is a kind with its part of the plans, and the bounds of its steps.
type kindSettings struct {
	kind        Kind
	probability float64
	minLength   time.Duration
	maxLength   time.Duration
	maxCount    int
}

// kindTable are the kinds that plans are drawn from. The parts were chosen so that a
// plan has some five of the kinds, and half of the plans have no fault of a link or
// the store: such a fault excuses nodes from most bounds for a while. Pauses and
// starts last up to a few seconds, which is around the time after which nodes
// have to be in touch again (3 s). Late orders are late for
// longer than the bound of weights (10 s).
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
}

// links and outages are what the faults of links and of the store are drawn from.
var (
	links   = []LinkState{Delayed, CutUp, CutDown, Stall, Reset}
	outages = []platformtest.Outage{
		platformtest.Unavailable, platformtest.Unavailable, platformtest.Resetting, platformtest.Resetting, platformtest.LosingAnswers, platformtest.LateWrites,
		platformtest.Slow, platformtest.RateLimited, platformtest.Garbling,
	}
)

// focuses are kinds that bring faults out together; a seed draws one of them, or none.
var focuses = [][]Kind{
	nil,
	{AnnounceWeights, OrdersLate, Kill, Stop, Pause, AddNode},
	{StoreFails, StoreLink, Kill, Pause, AnnounceWeights},
	{Reconfigure, StoreFails, StoreLink, Pause, AddNode},
	{TargetDrain, TargetUnlist, TargetCrash, TargetRestart, Stop, Reconfigure},
}

// The parts of plans that have a kind of the focus, and by how much rarer the others are.
const (
	focusProbability = 0.8
	otherKindsFactor = 0.3
)

// GeneratePlan returns the plan of a seed.
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

// The times between steps that follow on each other, and those within a herd.
const (
	minGap   = time.Second
	maxGap   = 6 * time.Second
	burstGap = 300 * time.Millisecond
)

// generateSteps returns the steps of one kind.
func (c kindSettings) generateSteps(rng *rand.Rand, length time.Duration, size Size) []Step {
	within := func(least, most time.Duration) time.Duration { return least + randomDuration(rng, most-least) }
	order := pattern(rng.IntN(int(patterns)))
	if c.kind == OrdersLate {
		// One late target delays little.
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
		// What comes of them takes longer than a third of a plan.
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

// randomDuration draws a time from zero up to a bound.
func randomDuration(rng *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(rng.Int64N(int64(max(1, limit))))
}

// setDetails draws what only some kinds have.
func (c kindSettings) setDetails(rng *rand.Rand, s *Step) {
	switch c.kind {
	case StoreFails:
		s.Outage = outages[rng.IntN(len(outages))]
		if rng.IntN(2) == 0 {
			s.Subject = AllNodes
		}
	case StoreLink, TargetLink:
		s.Link = links[rng.IntN(len(links))]
	case OrdersLate, Pause, Kill, Stop, ReloadSettings, AddNode, StoreForgets, StoreRollback, TargetCrash, TargetRestart, TargetDrain, TargetUnlist, TargetGrey, SuspectRequest,
		TargetHintsLimit, TargetHintsDraining, TargetHintsBackoff, AnnounceWeights, Reconfigure:
	}
}

// ReadPlan reads a plan from a file.
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
