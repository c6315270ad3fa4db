package route

import "time"

// A request waits here while no target has room. Where its route states an aim, it
// waits as long as its answer can still begin in time, by what answers took lately:
// serving one that is late already would make others late, and a refusal tells its
// caller when there will be room. Where no aim is stated, it waits for its queue time.

// firstTimes are the means of how long answers took lately to begin after they were
// sent, and of the least that they could have taken.
type firstTimes struct{ took, least time.Duration }

// firstPart is the part that one answer has in the means.
const firstPart = 0.1

func (f *firstTimes) add(took, least time.Duration) {
	if f.least == 0 {
		f.took, f.least = took, least
		return
	}
	f.took += time.Duration(firstPart * float64(took-f.took))
	f.least += time.Duration(firstPart * float64(least-f.least))
}

// factor is how many times their least answers take.
func (f firstTimes) factor() float64 {
	if f.least <= 0 {
		return 1
	}
	return max(1, float64(f.took)/float64(f.least))
}

// queueTime is how long after its arrival a request may wait for room.
func (b *Board) queueTime(r *request) time.Duration {
	if r.Aim == 0 {
		return min(r.QueueTime, r.Deadline.Sub(r.arrived))
	}
	return max(0, min(r.Aim, r.Deadline.Sub(r.arrived))-b.pools[r.Pool].usualFirst(r))
}

// usualFirst is how long the request's answer takes to begin once it is sent, by
// what answers of the pool took lately.
func (p *pool) usualFirst(r *request) time.Duration {
	if len(p.members) == 0 {
		return 0
	}
	if r.Model == nil {
		return p.members[0].service
	}
	return time.Duration(float64(p.leastFirst(r)) * p.firsts.factor())
}

// leastFirst is how long an engine of the pool reads at least before it answers the request.
func (p *pool) leastFirst(r *request) time.Duration {
	if len(p.members) == 0 {
		return seconds(float64(r.leastPrefill()) / defaultPrefillRate)
	}
	return p.members[0].leastFirst(r)
}

// leastFirst is how long the target reads at least before it answers the request.
func (t *target) leastFirst(r *request) time.Duration {
	return seconds(float64(r.leastPrefill()) / t.rate())
}

// leastPrefill is what an engine reads of the prompt at least, in tokens: what no
// other prompt shares.
func (r *request) leastPrefill() int {
	if n := len(r.Parts); n > 0 {
		return r.Parts[n-1].Tokens
	}
	return r.promptTokens()
}

// queuedAgain is until when a request waits for room that is to be sent again. One
// whose answer has begun waits as long as its caller does: to break it off would cost
// what was delivered too.
func (b *Board) queuedAgain(now time.Time, r *request) time.Time {
	if r.Aim == 0 {
		return now.Add(min(r.QueueTime, r.Deadline.Sub(now)))
	}
	if r.delivered {
		return r.Deadline
	}
	again := now.Add(lookAgain)
	if inTime := r.arrived.Add(b.queueTime(r)); inTime.After(again) {
		return inTime
	}
	return again
}

// waitOn lets the request wait until a time at least.
func (r *request) waitOn(until time.Time) {
	if until.After(r.queuedTo) {
		r.queuedTo = until
	}
}

// lookAgain is how soon a request is looked at again that waits for what is being read.
const lookAgain = 50 * time.Millisecond
