package route

import (
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/pathhead/pathhead/policy"
	"github.com/zeebo/xxh3"
)

// Request is a checked request of a caller.
type Request struct {
	ID  string
	Org string
	// Print is the same for all copies of the request; the zero one says that it is not known.
	Print Fingerprint
	// Revision is the configuration that the request was checked under.
	Revision int64
	Pool     string
	Deadline time.Time
	// Aim is the time from its arrival within which the answer is to begin; zero means that none is stated.
	Aim time.Duration
	// QueueTime bounds the wait for a target.
	QueueTime time.Duration
	Priority  int
	// Repeatable is false for a call that may run at most once.
	Repeatable bool

	// Model is nil for a call to a plain service.
	Model   *policy.Model
	Adapter string
	// Text is the prompt that the prefix chain runs over, Bounds the offsets in it where messages end.
	Text      []byte
	Bounds    []int
	MaxTokens int
	// Bytes is the size of the request and of the answer that is expected.
	Bytes int
	// Parts is the prompt as a chain of named parts, in place of Text. The last
	// belongs to the request itself or to its session.
	Parts []Part
	// SharesCache says that the request's cached parts may serve other organisations that say so too.
	SharesCache bool
	// MaxTries bounds the targets that the request is sent to; zero means the board's own bound.
	MaxTries int
	// Charge is what the request was charged of its organisation's limits before it came here.
	Charge Charge
	// Streams says that the answer comes in parts, of which the first is seen.
	Streams bool
	// ResumeAnywhere says that a broken answer may go on under other weights.
	ResumeAnywhere bool
	// Resumable says that a broken answer may go on at another target.
	Resumable bool
}

// Salt returns what the request's cached blocks are bound to under the given weights.
func (r *Request) Salt(weights string) Salt {
	org := r.Org
	if r.SharesCache {
		org = ""
	}
	return Salt{Org: org, Model: r.Model.Name, Adapter: r.Adapter, Weights: weights}
}

// promptTokens estimates the prompt's length in tokens.
func (r *Request) promptTokens() int {
	if len(r.Parts) == 0 {
		return Tokens(len(r.Text))
	}
	n := 0
	for _, p := range r.Parts {
		n += p.Tokens
	}
	return n
}

// Attempt is one sending of a request to one target.
type Attempt struct {
	ID          string
	Request     string
	Target      netip.AddrPort
	Incarnation Incarnation
	Weights     string
	Salt        string
	// Resume says that the answer goes on after what was delivered.
	Resume bool
	// Import is a kept prefix to import first; without tokens there is none.
	Import Import
	// Fetch is a target that holds more of the prompt, to fetch cached parts from; it is zero where there is none.
	Fetch netip.AddrPort
	// Save is a store that the target sends the parts to which it reads; it is zero for none.
	Save netip.AddrPort
	// Number is the number of the attempt, from 1.
	Number int
	// Reason explains the placement to operators.
	Reason string
}

// Action is what a board asks its shell to do.
type Action interface{ isAction() }

// Send asks to send an attempt to its target.
type Send struct{ Attempt Attempt }

// Refuse asks to give the caller the final answer that its request failed.
type Refuse struct {
	Request string
	Refusal Refusal
}

// Cancel asks to end an attempt's connection.
type Cancel struct {
	Request string
	Attempt string
}

// Finish tells that a request ended with a whole answer.
type Finish struct{ Request string }

func (Send) isAction()   {}
func (Refuse) isAction() {}
func (Cancel) isAction() {}
func (Finish) isAction() {}

// Cause says why a request was refused.
type Cause int

// The causes of a refusal.
const (
	CauseOverload Cause = iota
	CauseLimit
	CauseNoTarget
	CauseDeadline
	CauseRetries
	CauseBroken
	CauseStopping
	CauseFenced
	CauseChanged
	CauseStore
	CauseClaimed
	CauseCrashes
)

// String returns the cause as callers see it.
func (c Cause) String() string {
	switch c {
	case CauseOverload:
		return "overloaded"
	case CauseLimit:
		return "limit_reached"
	case CauseNoTarget:
		return "no_target"
	case CauseDeadline:
		return "deadline_passed"
	case CauseRetries:
		return "retries_used_up"
	case CauseBroken:
		return "answer_broken"
	case CauseStopping:
		return "router_stopping"
	case CauseFenced:
		return "configuration_unconfirmed"
	case CauseChanged:
		return "configuration_changed"
	case CauseStore:
		return "store_unavailable"
	case CauseClaimed:
		return "already_claimed"
	case CauseCrashes:
		return "crashes_targets"
	}
	panic("route: unknown cause")
}

// Refusal is the final answer to a request that failed.
type Refusal struct {
	Cause   Cause
	Verdict Verdict
	// RetryAfter is when the caller should come back; zero means that it should not.
	RetryAfter time.Duration
	Detail     string
}

// OutcomeKind says how an attempt ended.
type OutcomeKind int

// The ends of an attempt.
const (
	// OutcomeUnsent means that no byte of the request left.
	OutcomeUnsent OutcomeKind = iota
	// OutcomeRefused means that the target answered that it did not run the request.
	OutcomeRefused
	// OutcomeBroken means that bytes left and no whole answer came.
	OutcomeBroken
	// OutcomeMismatch means that the answer is not from the expected incarnation, weights or attempt.
	OutcomeMismatch
	// OutcomeDone means that the whole answer came.
	OutcomeDone
)

// String returns the kind's name for logs.
func (k OutcomeKind) String() string {
	switch k {
	case OutcomeUnsent:
		return "unsent"
	case OutcomeRefused:
		return "refused"
	case OutcomeBroken:
		return "broken"
	case OutcomeMismatch:
		return "mismatch"
	case OutcomeDone:
		return "done"
	}
	panic("route: unknown outcome")
}

// Outcome reports the end of an attempt.
type Outcome struct {
	Request string
	Attempt string
	Kind    OutcomeKind
	// Delivered says that part of the answer reached the caller.
	Delivered bool
	// Usage is the engine's count of tokens, where it gave one.
	Usage *Usage
	// Incarnation is what the target said it is, where it said so.
	Incarnation Incarnation
	// Closed says that the target ended the connection before its answer was whole.
	Closed bool
	// Silent says that the target's machine gave no sign of life at all.
	Silent bool
	// TargetError says that the whole answer was a failure of the target's own.
	TargetError bool
	Detail      string
}

// request is a request on the board.
type request struct {
	Request
	arrived time.Time
	// notBefore holds a retry back.
	notBefore     time.Time
	queueDeadline time.Time
	cost          float64
	charged       bool
	// estimated says that the limits were charged by the prompt and the bound of the answer.
	estimated bool
	seq       int64
	index     int
	tries     int
	unsent    int
	tried     map[netip.AddrPort]bool
	// wants are the targets with a limit that it was to go to.
	wants     map[netip.AddrPort]bool
	verdict   Verdict
	delivered bool
	weights   string
	attempt   *attempt
	chains    map[string]*chain
	homes     homes
	// held says that the request waits for what is being read, and not for room.
	awaitingFill bool
	// anew is set while the request is placed without what is still being read.
	ignorePendingFills bool
	// draw is a number from 0 to 1 by which requests take different ways.
	sample float64
	// recruited says that targets were taken from the reserve for it.
	recruited bool
	// side is the side of a roll-out on which the request is being placed.
	side releaseSide
}

// chain is a request's prefix chain under one salt.
type chain struct {
	salt   string
	blocks []Block
	// bounds are the blocks at which messages end, levels those and the noted
	// ones, in rising order.
	messageEnds   []int
	trackedBlocks []int
	// tokens is the length of the prompt up to the end of each block.
	tokens []int
	// keys name the parts, where the prompt is a chain of named ones.
	partKeys []partKey
}

// newPartsChain chains named parts, each of which is a block of its own length.
func newPartsChain(salt string, parts []Part) *chain {
	c := &chain{salt: salt}
	head := xxh3.HashString(salt)
	total := 0
	for i, p := range parts {
		head = xxh3.HashStringSeed(p.ID, head)
		total += p.Tokens
		c.blocks = append(c.blocks, Block(head))
		c.tokens = append(c.tokens, total)
		c.partKeys = append(c.partKeys, keyOfPart(salt, p.ID))
		c.messageEnds = append(c.messageEnds, i)
		c.trackedBlocks = append(c.trackedBlocks, i)
	}
	return c
}

func newChain(salt string, text []byte, ends []int) *chain {
	c := &chain{salt: salt, blocks: Chain(salt, text, BlockBytes, ChainEvery)}
	for _, end := range ends {
		if n := end / (BlockBytes * ChainEvery); n > 0 && n <= len(c.blocks) {
			c.messageEnds = append(c.messageEnds, n-1)
		}
	}
	c.tokens = make([]int, len(c.blocks))
	for i := range c.blocks {
		c.tokens[i] = (i + 1) * chainTokens
		if tracked(i) || slices.Contains(c.messageEnds, i) {
			c.trackedBlocks = append(c.trackedBlocks, i)
		}
	}
	return c
}

// chain returns the request's prefix chain under the given weights, computed once.
func (r *request) chain(weights string) *chain {
	if c, ok := r.chains[weights]; ok {
		return c
	}
	salt := r.Salt(weights).String()
	var c *chain
	if len(r.Parts) > 0 {
		c = newPartsChain(salt, r.Parts)
	} else {
		c = newChain(salt, r.Text, r.Bounds)
	}
	if r.chains == nil {
		r.chains = make(map[string]*chain, 1)
	}
	r.chains[weights] = c
	return c
}

// size is the memory that the request may take of an engine, in tokens.
func (r *request) size() int {
	if r.Model == nil {
		return 0
	}
	return r.promptTokens() + r.MaxTokens
}

// newAttempt names the next attempt of the request.
func (r *request) newAttempt() string {
	r.tries++
	return r.ID + "-" + strconv.Itoa(r.tries)
}

// attempt is an attempt on the board.
type attempt struct {
	Attempt
	target *target
	sent   time.Time
	// uncached is the prompt's part that the target was expected to prefill, in tokens.
	uncached int
	// heldTokens and heldAge are what the target was believed to hold and how old that belief was.
	heldTokens int
	heldAge    time.Duration
	// first is true once the answer has begun, which was at firstTokenAt.
	firstToken   bool
	firstTokenAt time.Time
	// fills are the readings that the attempt began.
	fills   []fillKey
	fetched bool
	// limited says that it was charged to its target's limit.
	limited   bool
	progress  time.Time
	cancelled bool
	// withdrawn says that it was cancelled for no fault of the target.
	withdrawn bool
}
