package route

import (
	"fmt"
	"math"
	"time"
)

// The memory of an engine is shared by the requests that it runs and by cached parts. When the
// requests outgrow it, the engine preempts some of them and reads them anew, so routers keep the sum
// of what they send below a fraction of it.

// memoryFraction is the fraction of an engine's cache that running requests may occupy. With a
// fraction of 1, shared parts are evicted and computed again, so requests run longer and occupy
// even more memory; with 0.5, requests wait although their engine has free memory. See
// docs/design/measures.md.
const memoryFraction = 0.7

// continuedMemoryFraction is the fraction that requests may occupy whose answer has begun. Only they get memory beyond
// memoryFraction, so that new requests do not take what is left at the targets of their release.
const continuedMemoryFraction = 0.85

// peerMemoryTTL is how long a request that a peer has just sent counts at least: the greatest age of
// the loads reported over relays.
const peerMemoryTTL = 750 * time.Millisecond

// hasMemory reports whether the engine's memory has space for the request in addition to the ones
// that are running.
func (t *target) hasMemory(now time.Time, p *pool, r *request) bool {
	limit := memoryFraction * float64(p.compiled.CacheTokens)
	if r.continues() {
		limit = continuedMemoryFraction * float64(p.compiled.CacheTokens)
	}
	if limit == 0 {
		return true
	}
	held := t.tokens + t.peerMemory(now)
	return held == 0 || float64(held+r.size()) <= limit
}

// peerMemory returns the memory that the requests of peers occupy, in tokens: those in the latest
// reports, and those sent since. The reports are of different ages. Requests of the last
// peerSendTTL, their mean age, are in few of them and count in addition. Those of the last
// peerMemoryTTL count even if no report has them yet. Of these requests only what the target has to
// read takes memory beside its cached parts.
func (t *target) peerMemory(now time.Time) int {
	recent, all := 0, 0
	for _, s := range t.peerSends {
		switch age := now.Sub(s.at); {
		case age <= peerSendTTL:
			recent += s.prefill
			all += s.prefill
		case age <= peerMemoryTTL:
			all += s.prefill
		}
	}
	return max(t.peerTokens+recent, all)
}

// size returns the cache memory that the request is expected to occupy at an engine, in tokens.
func (r *request) size() int {
	if r.Model == nil {
		return 0
	}
	return r.promptTokens() + r.expectedAnswer()
}

// maxSize returns the most cache memory that the request can occupy at an engine, in tokens.
func (r *request) maxSize() int {
	if r.Model == nil {
		return 0
	}
	return r.promptTokens() + r.MaxTokens
}

// expectedAnswer estimates the length of the answer in tokens, as the geometric mean of the caller's
// guess and the maximum. Answers' lengths have a long tail: half of them exceed a guess that is right
// in the median, while few reach the maximum.
func (r *request) expectedAnswer() int {
	if r.LengthHint <= 0 || r.LengthHint >= r.MaxTokens {
		return r.MaxTokens
	}
	return int(math.Sqrt(float64(r.LengthHint) * float64(r.MaxTokens)))
}

// oversizedRefusal returns a refusal if no engine of the pool has enough memory for the request. It
// has no Retry-After, since repeating the request is in vain.
func (b *Board) oversizedRefusal(p *pool, r *request) *Refusal {
	capacity := p.compiled.CacheTokens
	if capacity == 0 || r.maxSize() <= capacity || b.disabled.Has(MemoryBound) {
		return nil
	}
	return &Refusal{
		Cause:  CauseOverload,
		Detail: fmt.Sprintf("the request needs up to %d tokens of memory, an engine of the pool has %d", r.maxSize(), capacity),
	}
}

// CallerWaited records that an attempt waited for its caller to take the answer. The target's service
// time does not include such waits: they say nothing about how long other requests will take.
func (b *Board) CallerWaited(requestID, attemptID string, d time.Duration) {
	if r, ok := b.requests[requestID]; ok && r.attempt != nil && r.attempt.ID == attemptID {
		r.attempt.callerWait += d
	}
}
