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

// RequestInfo is what the protocol reads from a caller's request.
type RequestInfo struct {
	// ID identifies the request, Key is the API key.
	ID  string
	Key string
	// Timeout is how long the caller waits for the answer; zero if unknown.
	Timeout time.Duration
	// Model is empty for a request to a plain service.
	Model     string
	Parts     []route.Part
	MaxTokens int
	// LengthHint is the caller's guess of the length of the answer in tokens; zero if unknown.
	LengthHint int
	// Tokens is the number of tokens charged to limits; zero if unknown.
	Tokens int
	// LastEvent is the id of the event after which the caller resumes a stream; empty if it asks for a
	// whole one.
	LastEvent string
	// Resumes is the id of the request that brought the first event of the stream that is resumed.
	Resumes string
}

// promptTokens returns the length of the prompt, or 0 for a request to a plain service.
func (i RequestInfo) promptTokens() int { return route.PartTokens(i.Parts) }

// AttemptInfo is what a router adds to a request that it sends to a target.
type AttemptInfo struct {
	Attempt route.Attempt
	// Org is the organisation of the caller's key, empty on public routes.
	Org string
	// Remaining is the time left until the request's deadline.
	Remaining time.Duration
	Priority  int
	// LastEvent is the id of the last event sent to the caller, for resuming a stream.
	LastEvent string
}

// ResponseClass classifies the header of a target's response.
type ResponseClass int

// Classes of responses.
const (
	// ResponseAnswer is an answer to be sent to the caller.
	ResponseAnswer ResponseClass = iota
	// ResponseNotRun means that the target did not run the request.
	ResponseNotRun
	// ResponseOtherIncarnation means that another incarnation responded and did not run the
	// request.
	ResponseOtherIncarnation
)

// Protocol is the HTTP dialect of an installation's callers and targets.
type Protocol interface {
	// ParseRequest reads a caller's request. An error means that the request is invalid.
	ParseRequest(r *http.Request) (RequestInfo, error)
	// Header completes the header of an attempt, which starts as the caller's header.
	Header(h http.Header, s AttemptInfo)
	// BelongsTo reports whether a target's response belongs to the request with the given id.
	BelongsTo(h http.Header, id string) bool
	// ClassifyResponse classifies a target's response by its header and returns the incarnation
	// that sent it, if the header names one.
	ClassifyResponse(status int, h http.Header) (m ResponseClass, incarnation route.Incarnation)
	// TargetHints returns the hints that a target announces of itself in a response header.
	TargetHints(status int, h http.Header) route.TargetHints
	// WriteRefusal writes a refusal to a caller.
	WriteRefusal(w http.ResponseWriter, f route.Refusal)
	// WriteBadRequest answers a caller whose request is invalid.
	WriteBadRequest(w http.ResponseWriter, status int, text string)
	// EventID returns the event id that a line of an event stream sets.
	EventID(line []byte) (id string, ok bool)
	// Streams reports whether a response header starts an event stream.
	Streams(h http.Header) bool
}

// Declared is a configuration read from the store.
type Declared struct {
	Revision int64
	// Text is the source text, passed on to peers that cannot reach the store.
	Text   string
	Config *policy.Config
	// Limits apply to callers.
	Limits Limits
	// Fixed are targets named in the configuration that are on no list.
	Fixed []route.Entry
	// Invalid are the entries that could not be read. What needs them is refused, and the rest of the
	// configuration applies.
	Invalid []error
}

// Limits bound the requests and connections of callers.
type Limits struct {
	MaxHeader  int
	MaxBody    int64
	HeaderTime time.Duration
	IdleTime   time.Duration
}

// Naming records that weights were named as the newest of a model.
type Naming struct {
	Model   string
	Weights string
	// Revision is the store's revision counter at the naming.
	Revision int64
}

// Changes is the result of watching the declaration.
type Changes struct {
	// Cursor is where the next watch continues.
	Cursor int64
	// At is the time on the store's clock when it answered; zero if it reports none.
	At time.Duration
	// Declared is nil if the configuration did not change.
	Declared *Declared
	Named    []Naming
	// Rollouts are the orders to move pools to other releases.
	Rollouts []route.RolloutOrder
	// Unreadable is the revision of a changed configuration that could not be read; zero if there is none.
	// What names no revision is none of the operator's.
	Unreadable int64
	// Rejected has the reasons for which rows of the declaration could not be read, if any.
	Rejected error
}

// Listing is one reading of the list of targets.
type Listing struct {
	Targets []*route.Entry
	// Partial is set if the list is large and was not read completely.
	Partial bool
	// Invalid are the entries that do not describe a target.
	Invalid []InvalidEntry
}

// InvalidEntry is a list entry that does not describe a target.
type InvalidEntry struct {
	ID     string
	Reason InvalidReason
}

// InvalidReason is the reason that a list entry is invalid.
type InvalidReason string

// Reasons for invalid list entries.
const (
	// EntryUndecodable means that the entry does not decode or has a field of the wrong type.
	EntryUndecodable InvalidReason = "unread"
	// EntryMissingField, EntryUnknownState and EntryInvalidValue mean that the entry lacks a field,
	// has an unknown state, or has a value out of range.
	EntryMissingField InvalidReason = "lacks"
	EntryUnknownState InvalidReason = "state"
	EntryInvalidValue InvalidReason = "value"
)

// ErrHistoryGone means that a watch has to restart from a zero cursor.
var ErrHistoryGone = errs.Tag("the store's history does not reach back that far")

// Store is the installation's store.
type Store interface {
	fleet.Table
	RolloutRecord
	// Remove removes rows of the table if they are as they were read.
	Remove(ctx context.Context, rows ...fleet.Row) error
	// Watch returns the changes to the declaration after a cursor, or none after wait. A zero
	// cursor reads the whole declaration.
	Watch(ctx context.Context, after int64, wait time.Duration) (Changes, error)
	// Parse parses the text of a configuration that a peer passed on.
	Parse(revision int64, text string) (*Declared, error)
	// Targets reads the list of targets. If large is false, a list that needs more than one page is
	// not read any further.
	Targets(ctx context.Context, large bool) (Listing, error)
	// Era returns the newest era of the store seen in an answer, zero before the first answer and
	// for a store without eras. The era rises when the store is restored from an older copy.
	Era() int64
	// Clock returns the relation to the store's clock.
	Clock() StoreClock
	// LastBefore returns the time on the store's clock of the last received answer that the store
	// gave before its counter reached a revision.
	LastBefore(revision int64) (at time.Duration, ok bool)
}

// TargetState is the answer of a target to a state query.
type TargetState struct {
	// Start is when the target started by its own clock; zero if unknown.
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
	// Orders is the number of orders that the incarnation must have accepted before.
	Orders int64
	Holder string
	Fence  int64
}

// OrderAnswer is a target's answer to an order.
type OrderAnswer int

// Answers to an order.
const (
	OrderTaken OrderAnswer = iota
	OrderAlreadyLoaded
	OrderRefused
)

// String returns the name of the answer for logs.
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

// CachePage is a page of a target's cache events.
type CachePage struct {
	// Start is when the target started by its own clock; zero if unknown.
	Start time.Time
	// Epoch changes when the target starts with an empty cache. Next is the position after this
	// page.
	Epoch int64
	Next  int64
	// Gap is set if events before these were lost.
	Gap     bool
	Changes []route.PartChange
}

// Engines is the client for the management API of an installation's targets.
type Engines interface {
	State(ctx context.Context, target netip.AddrPort) (TargetState, error)
	Order(ctx context.Context, o Order) (OrderAnswer, error)
	// CacheEvents returns the changes to a target's cache after an event, or none after wait.
	CacheEvents(ctx context.Context, target netip.AddrPort, since int64, wait time.Duration) (CachePage, error)
}
