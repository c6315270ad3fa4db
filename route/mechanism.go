package route

import (
	"slices"
	"strings"

	"github.com/zeebo/errs/v2"
)

// Mechanisms is a set of mechanisms, each of which an experiment can switch off to
// measure what it is worth.
type Mechanisms uint32

// The mechanisms that can be switched off.
const (
	// CacheEvents is the reading of what targets' caches hold.
	CacheEvents Mechanisms = 1 << iota
	// Fetching lets targets copy cached parts from each other.
	Fetching
	// KeptStore lets targets save parts to a store and fetch them from there.
	KeptStore
	// Displacing prices what a copy or a long prompt displaces.
	Displacing
	// Spreading gives parts that are asked for often several homes.
	Spreading
	// MemoryBound bounds the memory of a target that running requests take.
	MemoryBound
	// Urgency orders requests by priority.
	Urgency
	// Retrying sends a failed request again.
	Retrying
	// Resuming lets a broken answer go on at another target.
	Resuming
	// NewestWeights prices older weights.
	NewestWeights
	// Distance prices targets of plain services in other failure domains.
	Distance
	// FailurePrice prices targets that failed attempts lately.
	FailurePrice
	// SilentWords are peers' words on silent targets.
	SilentWords
	// AwaitReading holds requests for parts that are being read.
	AwaitReading
	// PoolRate takes a target of which nothing was learned for as quick as its pool.
	PoolRate
	// AwaitBest holds requests for a while for their best target.
	AwaitBest
	// PlacedWords tell peers of a small fleet at once of requests that take long.
	PlacedWords
	// HolderHomes are asked in a large fleet who holds the parts of a prompt.
	HolderHomes
	// RecentWords tell all nodes of a large fleet soon of requests that take long.
	RecentWords
	// Pairs lets more than one target of a model change its weights at once.
	Pairs
	// LeastLoaded changes the weights of targets with little work first.
	LeastLoaded
	// OthersEntries are told in gossip where two nodes have not heard of the same peers.
	OthersEntries
	// LimitAccount lets routers keep organisations' limits together, in place of equal parts.
	LimitAccount
)

// mechanismNames are the names in settings, in the order of the constants.
var mechanismNames = []string{
	"cache-events", "fetching", "kept-store", "displacing", "spreading", "memory-bound", "urgency", "retrying",
	"resuming", "newest-weights", "distance", "failure-price", "silent-words", "await-reading", "pool-rate",
	"await-best", "placed-words", "holder-homes", "recent-words", "pairs", "least-loaded",
	"others-entries", "limit-account",
}

// MechanismNames returns the names of all mechanisms.
func MechanismNames() []string { return slices.Clone(mechanismNames) }

// ParseMechanisms returns the set of the mechanisms named; an error names one that is not known.
func ParseMechanisms(names []string) (Mechanisms, error) {
	var out Mechanisms
	for _, name := range names {
		i := slices.Index(mechanismNames, name)
		if i < 0 {
			return 0, errs.Errorf("mechanism %q is not known; there are %s", name, strings.Join(mechanismNames, ", "))
		}
		out |= 1 << i
	}
	return out, nil
}

// Has reports whether the set has a mechanism.
func (m Mechanisms) Has(one Mechanisms) bool { return m&one != 0 }

// String returns the names of the mechanisms in the set.
func (m Mechanisms) String() string {
	var names []string
	for i, name := range mechanismNames {
		if m.Has(1 << i) {
			names = append(names, name)
		}
	}
	return strings.Join(names, ",")
}

// WithoutMechanisms switches mechanisms off.
func WithoutMechanisms(off Mechanisms) Option {
	return func(b *Board) { b.disabled = off }
}
