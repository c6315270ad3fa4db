package node

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/zeebo/errs/v2"

	"github.com/pathhead/pathhead/fleet"
	"github.com/pathhead/pathhead/policy"
	"github.com/pathhead/pathhead/route"
)

// RequestInfo is what a caller's request says of itself.
type RequestInfo struct {
	// ID is the caller's name for this request, Key its API key.
	ID  string
	Key string
	// Patience is how long the caller waits for the answer; zero means that it does not say.
	Timeout time.Duration
	// Model is empty for a call to a plain service.
	Model     string
	Parts     []route.Part
	MaxTokens int
	// Tokens is what the request counts for limits; zero means that it does not say.
	Tokens int
}

// AttemptInfo is what a router adds to a request that it sends to a target.
type AttemptInfo struct {
	Attempt route.Attempt
	// Org is the organisation that the caller's key belongs to, empty on public routes.
	Org string
	// Left is how much of the request's time is left.
	Remaining time.Duration
	Priority  int
	// LastEvent is the id of the last event that was passed on, for an answer that goes on.
	LastEvent string
}

// ResponseClass is what the head of a target's answer says.
type ResponseClass int

// The meanings of an answer's head.
const (
	// ResponseAnswer is an answer to be passed on.
	ResponseAnswer ResponseClass = iota
	// ResponseNotRun says that the target did not run the request.
	ResponseNotRun
	// ResponseOtherIncarnation says that another incarnation answered, which did not run the request.
	ResponseOtherIncarnation
)

// Protocol is how an installation's callers and targets use HTTP.
type Protocol interface {
	// Ask reads a caller's request; an error is the caller's fault.
	ParseRequest(r *http.Request) (RequestInfo, error)
	// Header fills in the header of an attempt, which holds the caller's own.
	Header(h http.Header, s AttemptInfo)
	// Own reports whether a target's answer belongs to the request with the id.
	BelongsTo(h http.Header, id string) bool
	// Read says what the head of a target's answer means, and which incarnation gave it where that is told.
	ClassifyResponse(status int, h http.Header) (m ResponseClass, incarnation route.Incarnation)
	// Said returns what the head of a target's answer says of the target.
	TargetSignals(status int, h http.Header) route.TargetHints
	// Refuse writes a refusal to a caller.
	WriteRefusal(w http.ResponseWriter, f route.Refusal)
	// Fault tells a caller that its request is wrong in itself.
	WriteBadRequest(w http.ResponseWriter, status int, text string)
	// EventID returns the id that a line of an event stream gives to its event.
	EventID(line []byte) (id string, ok bool)
	// Streams reports whether the head of an answer begins an event stream.
	Streams(h http.Header) bool
}

// Declared is a configuration as it lies in the store.
type Declared struct {
	Revision int64
	// Text is what the operator wrote, for peers that cannot reach the store.
	Text   string
	Config *policy.Config
	// Limits bound what callers may send.
	Limits Limits
	// Fixed are targets that stand in the configuration and on no list.
	Fixed []route.Entry
}

// Limits bound a caller's connection.
type Limits struct {
	MaxHeader  int
	MaxBody    int64
	HeaderTime time.Duration
	IdleTime   time.Duration
}

// Naming says that a model's newest weights were named.
type Naming struct {
	Model   string
	Weights string
	// Revision is the store's counter at the naming.
	Revision int64
}

// Changes is what a watch of the declaration brought.
type Changes struct {
	// Cursor is where the next watch goes on.
	Cursor int64
	// At is what the store's clock showed when it answered, zero where it tells none.
	At time.Duration
	// Declared is nil if the configuration did not change.
	Declared *Declared
	Named    []Naming
	// Rollouts are the orders to move pools to other releases.
	Rollouts []route.RolloutOrder
	// Rejected says why a configuration could not be read, if one could not.
	Rejected error
}

// Listing is a reading of the list of targets.
type Listing struct {
	Targets []*route.Entry
	// Partial says that the list is large and was not read.
	Partial bool
	// Faulty are the entries that name no target, since they are not as targets write them.
	Invalid []InvalidEntry
}

// InvalidEntry is an entry of the list that names no target.
type InvalidEntry struct {
	ID              string
	WriteBadRequest InvalidReason
}

// InvalidReason is the reason for which an entry of the list names no target.
type InvalidReason string

// The faults of an entry.
const (
	// EntryUndecodable is one that does not decode, or has fields of another type.
	EntryUndecodable InvalidReason = "unread"
	// EntryMissingField is one that lacks a field, EntryUnknownState one in a state that has no meaning
	// here, EntryInvalidValue one with a value that can't be.
	EntryMissingField InvalidReason = "lacks"
	EntryUnknownState InvalidReason = "state"
	EntryInvalidValue InvalidReason = "value"
)

// ErrHistoryGone says that a watch has to begin anew.
var ErrHistoryGone = errs.Tag("the store's history does not reach back that far")

// Store is the installation's store.
type Store interface {
	fleet.Table
	RolloutRecord
	// Watch returns what changed in the declaration after a cursor, or after
	// wait with nothing; a zero cursor reads it whole.
	Watch(ctx context.Context, after int64, wait time.Duration) (Changes, error)
	// Parse reads a configuration's text, as a peer passed it on.
	Parse(revision int64, text string) (*Declared, error)
	// Targets reads the list of targets. Unless the whole of a large one is asked for, a list that
	// the store does not give at once is not read any further.
	Targets(ctx context.Context, large bool) (Listing, error)
	// Era is the store's newest life that an answer was of, zero before the first and for a
	// store that tells none. It rises when the store comes back from an older copy.
	Era() int64
	// Clock tells what the store's answers said of its clock.
	Clock() StoreClock
	// LastBefore returns what the store's clock showed at the last answer heard of that
	// it gave before its counter came to a revision.
	LastBefore(revision int64) (at time.Duration, ok bool)
}

// TargetState is what a target says of itself when it is asked.
type TargetState struct {
	// Start is when the target started by its own clock, zero where it does not tell.
	Start   time.Time
	Weights map[string]string
	Orders  int64
	Busy    bool
}

// Order asks one incarnation of a target to load weights.
type Order struct {
	Target  route.TargetKey
	Model   string
	Weights string
	// Orders is the number of orders that the incarnation must have taken.
	Orders int64
	Holder string
	Fence  int64
}

// OrderAnswer is a target's answer to an order.
type OrderAnswer int

// The answers to an order.
const (
	OrderTaken OrderAnswer = iota
	OrderAlreadyLoaded
	OrderRefused
)

// String returns the answer's name for logs.
func (a OrderAnswer) String() string {
	switch a {
	case OrderTaken:
		return "taken"
	case OrderAlreadyLoaded:
		return "holds already"
	case OrderRefused:
		return "refused"
	}
	panic("node: unknown answer to an order")
}

// CachePage is a run of a target's events about its cache.
type CachePage struct {
	// Start is when the target started by its own clock, zero where it does not tell.
	Start time.Time
	// Epoch changes when the target starts with an empty cache, Next is where to go on.
	Epoch int64
	Next  int64
	// Gap says that events before these are lost.
	Gap     bool
	Changes []route.PartChange
}

// Engines is how an installation's targets are asked and ordered.
type Engines interface {
	State(ctx context.Context, target netip.AddrPort) (TargetState, error)
	Order(ctx context.Context, o Order) (OrderAnswer, error)
	// CacheEvents returns what changed in a target's cache after an event, or
	// after wait with nothing.
	CacheEvents(ctx context.Context, target netip.AddrPort, since int64, wait time.Duration) (CachePage, error)
}
