package route

import "time"

// A request waits here while no target has room. Where its route states an aim, it
// waits as long as its answer can still begin in time, by what answers took lately:
// serving one that is late already would make others late, and a refusal tells its
// caller when there will be room. Where no aim is stated, it waits for its queue time.

// firstTokenStats are the means of how long answers took lately to begin after they were
// sent, and of the least that they could have taken.
type firstTokenStats struct{ actual, minimum time.Duration }

// firstTokenSmoothing is the part that one answer has in the means.
const firstTokenSmoothing = 0.1

func (f *firstTokenStats) add(took, least time.Duration) {
	if f.minimum == 0 {
		f.actual, f.minimum = took, least
		return
	}
	f.actual += time.Duration(firstTokenSmoothing * float64(took-f.actual))
	f.minimum += time.Duration(firstTokenSmoothing * float64(least-f.minimum))
}

// factor is how many times their least answers take.
func (f firstTokenStats) factor() float64 {
	if f.minimum <= 0 {
		return 1
	}
	return max(1, float64(f.actual)/float64(f.minimum))
}

// maxQueueTime is how long after its arrival a request may wait for room.
func (b *Board) maxQueueTime(r *request) time.Duration {
	if r.Aim == 0 {
		return min(r.QueueTime, r.Deadline.Sub(r.arrived))
	}
	return max(0, min(r.Aim, r.Deadline.Sub(r.arrived))-b.pools[r.Pool].expectedFirstToken(r))
}

// expectedFirstToken is how long the request's answer takes to begin once it is sent, by
// what answers of the pool took lately.
func (p *pool) expectedFirstToken(r *request) time.Duration {
	if len(p.members) == 0 {
		return 0
	}
	if r.Model == nil {
		return p.members[0].service
	}
	return time.Duration(float64(p.minFirstToken(r)) * p.firstTokens.factor())
}

// minFirstToken is how long an engine of the pool reads at least before it answers the request.
func (p *pool) minFirstToken(r *request) time.Duration {
	if len(p.members) == 0 {
		return seconds(float64(r.minPrefill()) / defaultPrefillRate)
	}
	return p.members[0].minFirstToken(r)
}

// minFirstToken is how long the target reads at least before it answers the request.
func (t *target) minFirstToken(r *request) time.Duration {
	return seconds(float64(r.minPrefill()) / t.rate())
}

// minPrefill is what an engine reads of the prompt at least, in tokens: what no
// other prompt shares.
func (r *request) minPrefill() int {
	if n := len(r.Parts); n > 0 {
		return r.Parts[n-1].Tokens
	}
	return r.promptTokens()
}

// retryQueueDeadline is until when a request waits for room that is to be sent again. One
// whose answer has begun waits as long as its caller does: to break it off would cost
// what was delivered too.
func (b *Board) retryQueueDeadline(now time.Time, r *request) time.Time {
	if r.Aim == 0 {
		return now.Add(min(r.QueueTime, r.Deadline.Sub(now)))
	}
	if r.delivered {
		return r.Deadline
	}
	again := now.Add(fillRecheckInterval)
	if inTime := r.arrived.Add(b.maxQueueTime(r)); inTime.After(again) {
		return inTime
	}
	return again
}

// extendQueueDeadline lets the request wait until a time at least.
func (r *request) extendQueueDeadline(until time.Time) {
	if until.After(r.queueDeadline) {
		r.queueDeadline = until
	}
}

// fillRecheckInterval is how soon a request is looked at again that waits for what is being read.
const fillRecheckInterval = 50 * time.Millisecond
