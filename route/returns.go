package route

import "time"

// A refusal for overload tells its caller when to return. A router remembers what it told: a
// request that returns then goes before new ones of its organisation and priority. One that returns
// earlier counts as new. What a router told is lost when it ends; its callers count as new
// elsewhere.

// Bounds of what is told and remembered.
const (
	// callerPatience divides the time that a caller has left: callers honour a Retry-After of up to
	// a third of it.
	callerPatience = 3
	// minShareTold bounds the wait that is told to callers of a demand that is hardly admitted.
	minShareTold = 0.1
	// maxReturns bounds the remembered requests of one generation.
	maxReturns = 1 << 12
)

// promise is what a refused request was told.
type promise struct {
	// due is when it may return, and until when that counts. seq is its place in the queue.
	due, until time.Time
	seq        int64
}

// overloadRetryAfter returns when a request that is refused for overload should return: once the
// backlog is worked off and the refused part of its organisation's demand is admitted, spread over
// as much time again. Callers honour it only up to a third of the time that they have left.
func (b *Board) overloadRetryAfter(now time.Time, p *pool, r *request) time.Duration {
	share := 1.0
	if b.saturated(now, p) {
		share = max(minShareTold, b.shareOf(now, p, b.demandKeyOf(r)))
	}
	drain := b.loadOf(now, p).wait + time.Duration((1/share-1)*float64(demandMeterWindow))
	told := min(drain, r.Deadline.Sub(now)/(2*callerPatience))
	told += time.Duration(b.rng.Float64() * float64(told))
	told = max(told, b.minRetryAfter)
	b.rememberReturn(now, p, r, told)
	return told
}

// rememberReturn records when a request was told to return.
func (b *Board) rememberReturn(now time.Time, p *pool, r *request, told time.Duration) {
	if !r.Print.Known() || b.disabled.Has(ReturnTimes) {
		return
	}
	if r.seq == 0 {
		p.queue.seq++
		r.seq = p.queue.seq
	}
	*b.returns.getOrCreate(r.Print) = promise{due: now.Add(told), until: now.Add(2 * told), seq: r.seq}
}

// takeReturn gives a request that returns at the time that it was told its earlier place in the
// queue, once.
func (b *Board) takeReturn(now time.Time, p *pool, r *request) {
	if !r.Print.Known() || b.disabled.Has(ReturnTimes) {
		return
	}
	told := b.returns.get(r.Print)
	switch {
	case told == nil || told.due.IsZero():
	case now.Before(told.due):
		p.joint.returnsEarly++
	case now.After(told.until):
		*told = promise{}
	default:
		r.seq = told.seq
		*told = promise{}
		p.joint.returnsKept++
	}
}
