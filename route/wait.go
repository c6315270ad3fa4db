package route

import "time"

// Requests are queued while no target has capacity. A request with an aim stays queued as long
// as its answer can still begin in time, judged by recent answers: serving a late request would
// delay others beyond their aims, and a refusal tells the caller when to retry. A request
// without an aim stays queued for its QueueTime.

// firstTokenStats holds moving averages of how long recent answers took to begin after they
// were sent, and of the minimum that they could have taken.
type firstTokenStats struct{ actual, minimum time.Duration }

// firstTokenSmoothing is the weight of a new value in the moving averages.
const firstTokenSmoothing = 0.1

func (f *firstTokenStats) add(took, least time.Duration) {
	if f.minimum == 0 {
		f.actual, f.minimum = took, least
		return
	}
	f.actual += time.Duration(firstTokenSmoothing * float64(took-f.actual))
	f.minimum += time.Duration(firstTokenSmoothing * float64(least-f.minimum))
}

// excess returns by how much the actual times exceed the minimum. It is waiting and latency, which
// do not grow with the length of a prompt.
func (f firstTokenStats) excess() time.Duration { return max(0, f.actual-f.minimum) }

// maxQueueTime returns how long after its arrival a request may wait for capacity.
func (b *Board) maxQueueTime(r *request) time.Duration {
	if r.Aim == 0 {
		return min(r.QueueTime, r.Deadline.Sub(r.arrived))
	}
	return max(0, min(r.Aim, r.Deadline.Sub(r.arrived))-b.pools[r.Pool].expectedFirstToken(r))
}

// expectedFirstToken predicts the time from sending the request to the beginning of its answer,
// from recent answers of the pool.
func (p *pool) expectedFirstToken(r *request) time.Duration {
	if len(p.members) == 0 {
		return 0
	}
	if r.Model == nil {
		return p.meanService()
	}
	return p.minFirstToken(r) + p.firstTokens.excess()
}

// minFirstToken returns the minimum prefill time of the request at an engine of the pool whose rate
// is the median.
func (p *pool) minFirstToken(r *request) time.Duration {
	return seconds(float64(r.minPrefill()) / p.middleRate())
}

// minFirstToken returns the minimum prefill time of the request at the target.
func (t *target) minFirstToken(r *request) time.Duration {
	return seconds(float64(r.minPrefill()) / t.rate())
}

// minPrefill returns the number of prompt tokens that an engine has to compute at least, which
// are those that no other prompt shares.
func (r *request) minPrefill() int {
	if n := len(r.Parts); n > 0 {
		return r.Parts[n-1].Tokens
	}
	return r.promptTokens()
}

// retryQueueDeadline returns until when a request that is to be retried may wait for capacity.
// If its answer has begun, it waits until its deadline, because giving up would also waste the
// part that was delivered.
func (b *Board) retryQueueDeadline(now time.Time, r *request) time.Time {
	if r.Aim == 0 {
		return now.Add(min(r.QueueTime, r.Deadline.Sub(now)))
	}
	switch {
	case r.delivered:
		return b.continueDeadline(now, r)
	case r.Continues:
		return r.resumedDeadline()
	}
	recheck := now.Add(fillRecheckInterval)
	if latest := r.arrived.Add(b.maxQueueTime(r)); latest.After(recheck) {
		return latest
	}
	return recheck
}

// resumedDeadline returns until when an answer that its caller resumes waits for a target. The aim does not bound it,
// since the first part has come.
func (r *request) resumedDeadline() time.Time {
	if until := r.arrived.Add(releasePatience); until.Before(r.Deadline) {
		return until
	}
	return r.Deadline
}

// extendQueueDeadline sets the queue deadline to the given time if it is earlier.
func (r *request) extendQueueDeadline(until time.Time) {
	if until.After(r.queueDeadline) {
		r.queueDeadline = until
	}
}

// fillRecheckInterval is the time after which a request that waits for a pending fill is
// checked again.
const fillRecheckInterval = 50 * time.Millisecond
