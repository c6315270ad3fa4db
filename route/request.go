package route

import (
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/pathhead/pathhead/policy"
	"github.com/zeebo/xxh3"
)

// Request is a validated request of a caller.
type Request struct {
	ID  string
	Org string
	// Print is the request's fingerprint, which is equal for all copies of it. The zero value
	// means unknown.
	Print Fingerprint
	// Revision is the revision of the configuration that validated the request.
	Revision int64
	Pool     string
	// Route is the name of the route, for operators.
	Route    string
	Deadline time.Time
	// Aim is the time after arrival within which the answer should begin; zero means that no
	// aim is stated.
	Aim time.Duration
	// AimAssumed is set if the aim is a default that the configuration does not state. A request is
	// not refused for missing such an aim.
	AimAssumed bool
	// QueueTime bounds the time in the queue.
	QueueTime time.Duration
	Priority  int
	// Repeatable is false for a call that must run at most once.
	Repeatable bool

	// Model is nil for a request to a service pool, and for one whose model is not known.
	Model   *policy.Model
	Adapter string
	// Nonce is a text that no other request has and that callers cannot foresee. It keeps the cached
	// blocks of a request without a known model from others.
	Nonce string
	// Text is the prompt that the prefix chain is computed over, and Bounds the offsets in it
	// at which messages end.
	Text      []byte
	Bounds    []int
	MaxTokens int
	// LengthHint is the caller's guess of the length of the answer in tokens, which is right in the
	// median; zero means unknown.
	LengthHint int
	// Bytes is the size of the request plus the expected size of the answer.
	Bytes int
	// Parts is the prompt as a sequence of named parts, used in place of Text. The last part
	// belongs to the request itself or to its session and is not shared.
	Parts []Part
	// SharesCache allows other organisations that also set it to use the cached parts of this
	// request.
	SharesCache bool
	// MaxTries bounds the attempts of the request; zero means maxTries.
	MaxTries int
	// Charge is what was charged to the organisation's limits before the request arrived.
	Charge Charge
	// Streams is set if the answer is streamed, so that its first token can be observed.
	Streams bool
	// ResumeAnywhere allows resuming an interrupted answer under other weights.
	ResumeAnywhere bool
	// Resumable allows resuming an interrupted answer at another target.
	Resumable bool
	// Pin restricts the request to targets of one release, Continues is set if the caller has a part of
	// the answer already.
	Pin       ReleasePin
	Continues bool
	// HandedOver is set if another router handed the request over, which has charged it to limits.
	// Waited is how long that router had it, and Sent is set if a target has received it before.
	HandedOver bool
	Waited     time.Duration
	Sent       bool
}

// Salt returns the salt of the request's cached blocks under the given weights. Its model must be known.
func (r *Request) Salt(weights string) Salt {
	org := r.Org
	if r.SharesCache {
		org = ""
	}
	return Salt{Org: org, Model: r.Model.Name, Adapter: r.Adapter, Weights: weights}
}

// privateSalt returns the salt of an attempt of a request without a known model, which no other attempt has.
// The name of the model that the caller gave is not part of it, since the hash does not withstand chosen
// texts.
func (r *Request) privateSalt(attempt string) Salt {
	return Salt{Org: r.Org, Pool: r.Pool, Attempt: r.Nonce + attempt}
}

// SharedParts returns the fingerprints of the request's parts without the last one, which belongs to
// the request itself or to its session.
func (r *Request) SharedParts() []Fingerprint {
	if len(r.Parts) < 2 {
		return nil
	}
	org, model := r.Org, ""
	if r.SharesCache {
		org = ""
	}
	if r.Model != nil {
		model = r.Model.Name
	}
	out := make([]Fingerprint, 0, len(r.Parts)-1)
	for _, p := range r.Parts[:len(r.Parts)-1] {
		out = append(out, PartFingerprint(org, model, p.ID))
	}
	return out
}

// promptTokens estimates the length of the prompt in tokens.
func (r *Request) promptTokens() int {
	if len(r.Parts) == 0 {
		return Tokens(len(r.Text))
	}
	return PartTokens(r.Parts)
}

// Attempt is the sending of a request to one target.
type Attempt struct {
	ID          string
	Request     string
	Target      netip.AddrPort
	Incarnation Incarnation
	// Weights are those that the target is expected to have; empty for a request without a known model.
	Weights string
	// Salt is set for every request that is sent to a target, which may cache prompts although the
	// configuration does not say so.
	Salt string
	// Resume is set if the answer continues after the part that was delivered.
	Resume bool
	// Import is the kept prefix to import first; there is none if its Tokens is zero.
	Import Import
	// Fetch is a target to fetch cached parts from, which holds a longer prefix of the prompt.
	// It is zero if there is none.
	Fetch netip.AddrPort
	// Save is the store to which the target sends the parts that it computes. It is zero if
	// there is none.
	Save netip.AddrPort
	// Number counts the attempts of the request, starting at 1.
	Number int
	// FirstToken is the predicted time until the answer begins.
	FirstToken time.Duration
	// Reason describes the placement to operators.
	Reason string
	// Via is the router that the request is handed over to; it is invalid if the request is sent to
	// a target. Tries is how many targets that router may send it to, Waited how long this router
	// had the request, and Sent is set if a target has received it before.
	Via    netip.AddrPort
	Tries  int
	Waited time.Duration
	Sent   bool
	// Pin is the release that the request is restricted to when it is handed over.
	Pin ReleasePin
}

// Action is an instruction from the board to its caller.
type Action interface{ isAction() }

// Send instructs to send an attempt to its target.
type Send struct{ Attempt Attempt }

// Refuse instructs to answer the caller with a final failure.
type Refuse struct {
	Request string
	Refusal Refusal
}

// Cancel instructs to close the connection of an attempt.
type Cancel struct {
	Request string
	Attempt string
}

// Finish reports that a request ended with a complete answer.
type Finish struct{ Request string }

func (Send) isAction()   {}
func (Refuse) isAction() {}
func (Cancel) isAction() {}
func (Finish) isAction() {}

// Cause is the reason for a refusal.
type Cause int

// Causes of a refusal.
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
	CauseMemory
)

// String returns the cause as it is sent to callers.
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
	case CauseMemory:
		return "memory_exhausted"
	}
	panic("route: unknown cause")
}

// ParseCause returns the cause with the given name; ok is false if there is none.
func ParseCause(name string) (c Cause, ok bool) {
	for c := range CauseMemory + 1 {
		if c.String() == name {
			return c, true
		}
	}
	return 0, false
}

// Refusal is the final answer to a failed request.
type Refusal struct {
	Cause   Cause
	Verdict Verdict
	// RetryAfter is how long the caller should wait before it repeats the request; zero means
	// that it should not repeat it.
	RetryAfter time.Duration
	Detail     string
	// Tries is the number of targets that the request was sent to.
	Tries int
}

// OutcomeKind classifies the end of an attempt.
type OutcomeKind int

// Outcomes of an attempt.
const (
	// OutcomeUnsent means that no byte of the request was sent.
	OutcomeUnsent OutcomeKind = iota
	// OutcomeRefused means that the target answered that it did not run the request.
	OutcomeRefused
	// OutcomeBroken means that bytes were sent but no complete answer was received.
	OutcomeBroken
	// OutcomeMismatch means that the answer comes from another incarnation, other weights or
	// another attempt than expected.
	OutcomeMismatch
	// OutcomeDone means that the complete answer was received.
	OutcomeDone
)

// String returns the name of the kind for logs.
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

// Outcome describes the end of an attempt.
type Outcome struct {
	Request string
	Attempt string
	Kind    OutcomeKind
	// Delivered is set if a part of the answer reached the caller.
	Delivered bool
	// Usage holds the token counts that the engine reported, if any.
	Usage *Usage
	// Incarnation is the incarnation that the target reported, if any.
	Incarnation Incarnation
	// Closed is set if the target closed the connection before its answer was complete.
	Closed bool
	// Silent is set if the target's machine did not respond at all.
	Silent bool
	// Local is set if this node could not take the answer. The target is not to blame, and another
	// attempt would fail in the same way.
	Local bool
	// TargetError is set if the complete answer is an error of the target itself.
	TargetError bool
	// Unavailable is set if the target answered that it cannot take the request now.
	Unavailable bool
	// Backoff is how long the target asked for no further requests, if it did.
	Backoff time.Duration
	// Weights are the weights of the request's model that the target stated, if any.
	Weights string
	// Handoff is the refusal of the router that the request was handed over to, if it sent one.
	Handoff *HandoffRefusal
	Detail  string
}

// request is the state of a queued or running request.
type request struct {
	Request
	arrived time.Time
	// notBefore is the end of a retry's backoff.
	notBefore     time.Time
	queueDeadline time.Time
	cost          float64
	charged       bool
	// estimated is set if the limits were charged for the prompt and the maximum length of the
	// answer.
	estimated bool
	seq       int64
	index     int
	tries     int
	unsent    int
	// handoffs counts how often the request was handed over, peerTries the targets that received it
	// from other routers.
	handoffs, peerTries int
	// resent counts the attempts at a target that had refused the request before. parked is the
	// incarnation at parkedAt that the request waits for meanwhile.
	resent int
	// retryPaid is set if the retry that follows the attempt was taken from the budget already.
	retryPaid bool
	// retryOwed is set if the next attempt takes a retry from the budget when it is sent.
	retryOwed bool
	// continuations counts the refused attempts to continue the answer. continueBy is until when its
	// release is waited for since the last part that reached the caller; zero if no attempt ended since.
	continuations int
	continueBy    time.Time
	parked        Incarnation
	parkedAt      netip.AddrPort
	tried         map[netip.AddrPort]bool
	// wants are the targets with a limit that the request could have been sent to.
	wants map[netip.AddrPort]bool
	// partPrints are the fingerprints of its parts for which crashes are counted, once needed.
	partPrints []Fingerprint
	verdict    Verdict
	delivered  bool
	weights    string
	attempt    *attempt
	chains     map[string]*chain
	homes      homes
	// awaitingFill is set while the request waits for a pending fill and not for capacity.
	awaitingFill bool
	// ignorePendingFills is set while the request is placed as if pending fills did not exist.
	ignorePendingFills bool
	// sample is a random number between 0 and 1 that distributes requests, for instance over
	// the releases of a roll-out.
	sample float64
	// recruited is set once targets were loaded from the target index for the request.
	recruited bool
	// outlook summarizes the latest predictions, and admitAt is when all targets of the pool may be
	// compared again.
	outlook outlook
	admitAt time.Time
	// urgent is set if it is among the most urgent requests of its pool.
	urgent bool
	// share is the admitted part of what its organisation asked at its priority.
	share float64
	// counted is set once its demand was counted.
	counted bool
	// scanAll is set while all targets of the pool are candidates, lateAllowed while candidates may
	// be predicted to answer late, and idleOnly while they must have nothing to compute.
	scanAll, lateAllowed, idleOnly bool
	// side is the side of a roll-out on which the request is being placed.
	side releaseSide
}

// chain is the prefix chain of a request under one salt.
type chain struct {
	salt   string
	blocks []Block
	// messageEnds are the indexes of the blocks that end messages. trackedBlocks are those and
	// the indexes for which tracked is true, in ascending order.
	messageEnds   []int
	trackedBlocks []int
	// tokens is the length of the prompt up to the end of each block.
	tokens []int
	// partKeys identify the parts of a prompt of named parts.
	partKeys []partKey
}

// newPartsChain returns the chain of named parts, each of which is one block.
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

// chain returns the prefix chain of the request under the given weights, computed on first use.
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

// newAttempt returns the ID of the request's next attempt.
func (r *request) newAttempt() string {
	r.tries++
	return r.ID + "-" + strconv.Itoa(r.tries)
}

// attempt is the state of a running attempt.
type attempt struct {
	Attempt
	target *target
	sent   time.Time
	// release is the release of the target when the attempt was sent.
	release string
	// uncached is the number of prompt tokens that the target was expected to prefill.
	uncached int
	// ahead is the number of tokens that the target had to prefill first, as known when the
	// attempt was sent. crowded is set if all slots of the target were in use then.
	ahead   float64
	crowded bool
	// risky is set if the router had no place at the target, which is brittle.
	risky bool
	// predicted is the predicted time from sending to the first token.
	predicted time.Duration
	// heldTokens is the longest prefix that the target was known to hold at placement, and
	// heldAge the age of that information.
	heldTokens int
	heldAge    time.Duration
	// firstToken is set once the answer has begun, at firstTokenAt.
	firstToken   bool
	firstTokenAt time.Time
	// vouched is set once the answer has gone on long enough to speak for the parts of the prompt.
	vouched bool
	// fills are the pending fills that the attempt began.
	fills   []fillKey
	fetched bool
	// limited is set if the attempt was charged to its target's limit.
	limited  bool
	progress time.Time
	// callerWait is the time that the attempt spent on waiting for its caller to take the answer.
	callerWait time.Duration
	cancelled  bool
	// withdrawn is set if the attempt was cancelled for a reason other than a fault of the
	// target.
	withdrawn bool
}
