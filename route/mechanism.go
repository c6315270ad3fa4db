package route

import (
	"slices"
	"strings"

	"github.com/zeebo/errs/v2"
)

// Mechanisms is a set of mechanisms. Experiments can switch off each of them to measure its
// effect.
type Mechanisms uint64

// Mechanisms that can be switched off.
const (
	// CacheEvents uses the cache events of targets.
	CacheEvents Mechanisms = 1 << iota
	// Fetching lets targets copy cached parts from each other.
	Fetching
	// KeptStore lets targets save parts to a store and fetch them from it.
	KeptStore
	// Displacing adds the cost of the cached parts that a copy or a long prompt evicts.
	Displacing
	// Spreading distributes frequently requested parts over several engines.
	Spreading
	// MemoryBound bounds the memory of a target that running requests occupy.
	MemoryBound
	// Urgency orders requests by priority.
	Urgency
	// Retrying retries failed requests.
	Retrying
	// Resuming resumes an interrupted answer at another target.
	Resuming
	// NewestWeights penalizes older weights.
	NewestWeights
	// Distance penalizes targets in other failure domains.
	Distance
	// FailurePrice penalizes targets with recent failures.
	FailurePrice
	// SilentWords uses the reports of peers about unresponsive targets.
	SilentWords
	// AwaitReading lets requests wait for pending fills.
	AwaitReading
	// PoolRate uses the prefill rate of the pool for a target without observations.
	PoolRate
	// AwaitBest lets requests wait for their best target for some time.
	AwaitBest
	// PlacedWords reports requests that keep a target busy for long to the peers of a small
	// fleet immediately.
	PlacedWords
	// HolderHomes asks a designated process of a large fleet for the holders of a prompt's
	// parts.
	HolderHomes
	// RecentWords distributes reports of requests that keep a target busy for long to all nodes
	// of a large fleet.
	RecentWords
	// Pairs lets more than one target of a model switch its weights at once.
	Pairs
	// LeastLoaded switches the weights of targets with the least work first.
	LeastLoaded
	// OthersEntries includes other nodes' entries in gossip between two nodes that do not know
	// the same peers.
	OthersEntries
	// LimitAccount lets routers account for the organisations' limits jointly, in place of
	// equal shares.
	LimitAccount
	// Capacity learns the capacities of targets apart from the time that requests wait there.
	Capacity
	// AimAdmission sends a request only where its answer is predicted to begin within its aim, or
	// where a late answer delays no others, and otherwise refuses it at once.
	AimAdmission
	// ResendSameTarget sends a request once more to a target that refused it over its weights or
	// its incarnation.
	ResendSameTarget
	// WeightsNotices tells other routers at once what a refusal of a target shows.
	WeightsNotices
	// UrgentRoom sends less urgent requests only where the most urgent ones would still be answered
	// in time.
	UrgentRoom
	// JointAdmission admits less urgent requests with the probability at which all routers together
	// use what the urgent ones leave of a pool.
	JointAdmission
	// PredictedPatience waits for the answer of a target as long as predicted.
	PredictedPatience
	// BoundedPrice bounds the price of prefill by the requests that it can delay within their aims.
	BoundedPrice
	// SpreadChoices lets the routers of a loaded pool choose between random targets.
	SpreadChoices
	// JointShares divides the capacity of a saturated pool between priorities and organisations
	// over all routers.
	JointShares
	// ReturnTimes lets requests that return when a refusal advised it go before new ones.
	ReturnTimes
	// HandingOver hands requests over to other routers while this one is cut off from the targets.
	HandingOver
	// BrittleTargets divides the slots of targets that announced that they are brittle.
	BrittleTargets
)

// mechanismNames are the names in settings, in the order of the constants.
var mechanismNames = []string{
	"cache-events", "fetching", "kept-store", "displacing", "spreading", "memory-bound", "urgency",
	"retrying", "resuming", "newest-weights", "distance", "failure-price", "silent-words", "await-reading",
	"pool-rate", "await-best", "placed-words", "holder-homes", "recent-words", "pairs", "least-loaded",
	"others-entries", "limit-account", "capacity", "aim-admission", "resend-same-target", "weights-notices", "urgent-room",
	"joint-admission", "predicted-patience", "bounded-price", "spread-choices", "joint-shares", "return-times", "handing-over",
	"brittle-targets",
}

// MechanismNames returns the names of all mechanisms.
func MechanismNames() []string { return slices.Clone(mechanismNames) }

// ParseMechanisms returns the set of the named mechanisms. It returns an error if a name is
// unknown.
func ParseMechanisms(names []string) (Mechanisms, error) {
	var out Mechanisms
	for _, name := range names {
		i := slices.Index(mechanismNames, name)
		if i < 0 {
			return 0, errs.Errorf("unknown mechanism %q; known mechanisms are %s", name, strings.Join(mechanismNames, ", "))
		}
		out |= 1 << i
	}
	return out, nil
}

// Has reports whether the set contains a mechanism.
func (m Mechanisms) Has(one Mechanisms) bool { return m&one != 0 }

// String returns the names of the mechanisms in the set, separated by commas.
func (m Mechanisms) String() string {
	var names []string
	for i, name := range mechanismNames {
		if m.Has(1 << i) {
			names = append(names, name)
		}
	}
	return strings.Join(names, ",")
}

// WithoutMechanisms switches the given mechanisms off.
func WithoutMechanisms(off Mechanisms) Option {
	return func(b *Board) { b.disabled = off }
}
