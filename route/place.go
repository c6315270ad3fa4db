package route

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// held is the deepest block a target was ever known to hold of a prompt, and how long ago.
type held struct {
	tokens int
	age    time.Duration
}

// candidate is a target that could take a request, with what is predicted of it.
type candidate struct {
	target  *target
	weights string
	chain   *chain
	// trusted is the cached part of the prompt that is believed, in tokens;
	// held is the deepest block ever known there.
	trusted int
	held    held
	// rank orders equal candidates the same way on every router.
	rank uint64
	wait time.Duration
	cost time.Duration
}

// Placer chooses among the candidates of a request; it may order the slice.
// Each candidate's wait and cost are already predicted.
type Placer func(rng *rand.Rand, cs []candidate) *candidate

// Predict takes the candidate with the least predicted time to first token plus
// the price of wasted prefill; near equals are ordered by rendezvous hashing.
func Predict(_ *rand.Rand, cs []candidate) *candidate {
	best := &cs[0]
	for i := range cs[1:] {
		c := &cs[i+1]
		switch d := c.cost - best.cost; {
		case d < -tieWidth, d <= tieWidth && c.rank > best.rank:
			best = c
		}
	}
	return best
}

// tieWidth is the difference of cost that counts as none.
const tieWidth = time.Millisecond

// Random takes any candidate; it is a baseline for measurements.
func Random(rng *rand.Rand, cs []candidate) *candidate { return &cs[rng.IntN(len(cs))] }

// RoundRobin takes the candidates in turn; it is a baseline for measurements.
func RoundRobin() Placer {
	n := -1
	return func(_ *rand.Rand, cs []candidate) *candidate {
		slices.SortFunc(cs, func(a, b candidate) int { return a.target.addr.Compare(b.target.addr) })
		n++
		return &cs[n%len(cs)]
	}
}

// LeastLoad takes the candidate with the fewest requests in flight; it is a baseline for measurements.
func LeastLoad(rng *rand.Rand, cs []candidate) *candidate {
	rng.Shuffle(len(cs), func(i, j int) { cs[i], cs[j] = cs[j], cs[i] })
	return ref(cs, slices.MinFunc(cs, func(a, b candidate) int {
		return cmp.Compare(a.target.inFlight(), b.target.inFlight())
	}))
}

// PrefixHash takes the first candidate in rendezvous order; it is a baseline for measurements.
func PrefixHash(_ *rand.Rand, cs []candidate) *candidate {
	return ref(cs, slices.MaxFunc(cs, func(a, b candidate) int { return cmp.Compare(a.rank, b.rank) }))
}

func ref(cs []candidate, c candidate) *candidate {
	for i := range cs {
		if cs[i].target == c.target {
			return &cs[i]
		}
	}
	panic("route: candidate is not in its slice")
}

// Placers returns the placement policies by the names that settings use.
func Placers() map[string]Placer {
	return map[string]Placer{
		"predict":     Predict,
		"random":      Random,
		"round-robin": RoundRobin(),
		"least-load":  LeastLoad,
		"prefix-hash": PrefixHash,
	}
}

func sortTargets(ts []*target) {
	slices.SortFunc(ts, func(a, b *target) int { return a.addr.Compare(b.addr) })
}

// fullScan is the pool size up to which every member is a candidate; of larger
// pools only known holders, the first in rendezvous order and a random few are.
const (
	fullScan       = 24
	rendezvousTop  = 4
	randomMore     = 4
	pricePerRetry  = 2 * time.Second
	slotWaitFactor = 1.0
)

// choose places a request, or reports whether the pool has any target for it at all.
func (b *Board) choose(now time.Time, p *pool, r *request) (best *candidate, any bool) {
	cs := b.candidates(now, p, r)
	if len(cs) == 0 {
		return nil, false
	}
	free := cs[:0]
	for _, c := range cs {
		if c.target.inFlight() < p.compiled.Window {
			free = append(free, c)
		}
	}
	if len(free) == 0 {
		return nil, true
	}
	return b.place(b.rng, free), true
}

// candidates lists the targets that serve the request, with predictions.
func (b *Board) candidates(now time.Time, p *pool, r *request) []candidate {
	cs := b.scratch[:0]
	if r.Model == nil {
		cs = b.serviceCandidates(cs, p, r)
	} else {
		cs = b.engineCandidates(cs, now, p, r)
	}
	b.scratch = cs
	for i := range cs {
		b.predict(&cs[i], r)
	}
	return cs
}

func (b *Board) serviceCandidates(cs []candidate, p *pool, r *request) []candidate {
	for _, t := range p.members {
		if t.usable() {
			cs = append(cs, candidate{target: t, rank: b.rng.Uint64()})
		}
	}
	return cs
}

// engineCandidates lists the engines with the declared weights; while fewer
// than the declared floor have them, those with other weights serve too.
func (b *Board) engineCandidates(cs []candidate, now time.Time, p *pool, r *request) []candidate {
	declared := 0
	for _, t := range p.members {
		weights, ok := t.serves(r.Model.Name, r.Adapter)
		if !ok || !t.usable() || (r.weights != "" && weights != r.weights) {
			continue
		}
		if weights == r.Model.Weights {
			declared++
		}
		cs = append(cs, candidate{target: t, weights: weights})
	}
	if declared >= r.Model.Floor || declared == len(cs) {
		cs = slices.DeleteFunc(cs, func(c candidate) bool {
			return r.weights == "" && c.weights != r.Model.Weights
		})
	}
	for i := range cs {
		cs[i].chain = r.chain(cs[i].weights)
	}
	if len(cs) > fullScan {
		cs = b.narrow(cs, r)
	}
	b.believe(cs, now)
	return cs
}

// believe fills in the ranks and what each candidate is known to hold.
func (b *Board) believe(cs []candidate, now time.Time) {
	for i := range cs {
		c := &cs[i]
		if i == 0 || c.chain != cs[i-1].chain {
			b.findHeld(cs, c.chain, now)
		}
		c.rank = mix(uint64(b.beliefs.anchor(c.chain)) ^ c.target.hash)
	}
}

// findHeld walks a chain from its deepest known block up until every candidate
// with that chain has a block that is trusted.
func (b *Board) findHeld(cs []candidate, c *chain, now time.Time) {
	b.round++
	open := 0
	for i := range cs {
		if cs[i].chain == c {
			cs[i].target.round, cs[i].target.candidate = b.round, i
			open++
		}
	}
	ms := now.UnixMilli()
	for i := b.beliefs.deepest(c); i >= 0 && open > 0; i-- {
		e := b.beliefs.blocks.get(c.blocks[i])
		if e == nil {
			continue
		}
		for _, h := range e.holders {
			t, ok := b.slots[h.slot]
			if !ok || t.round != b.round {
				continue
			}
			if cs[t.candidate].note((i+1)*chainTokens, time.Duration(ms-h.at)*time.Millisecond) {
				open--
			}
		}
	}
}

// note takes a block known at the candidate and reports whether it is the first trusted one.
func (c *candidate) note(tokens int, age time.Duration) bool {
	if c.held.tokens == 0 {
		c.held = held{tokens: tokens, age: age}
	}
	if c.trusted > 0 || !c.target.horizon.trusts(age) {
		return false
	}
	c.trusted = tokens
	return true
}

// mix scrambles a number so that its bits can order targets.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// narrow keeps the candidates of a large pool that are worth predicting for.
func (b *Board) narrow(cs []candidate, r *request) []candidate {
	keep := make(map[*target]bool, rendezvousTop+randomMore+holdersPerBlock)
	c := cs[0].chain
	anchor := uint64(b.beliefs.anchor(c))
	var top [rendezvousTop]candidate
	for _, cand := range cs {
		cand.rank = mix(anchor ^ cand.target.hash)
		for i := range top {
			if cand.rank > top[i].rank {
				cand, top[i] = top[i], cand
			}
		}
	}
	for _, t := range top {
		keep[t.target] = true
	}
	for range randomMore {
		keep[cs[b.rng.IntN(len(cs))].target] = true
	}
	b.keepHolders(keep, c)
	return slices.DeleteFunc(cs, func(cand candidate) bool { return !keep[cand.target] })
}

// keepHolders adds the holders of the deepest known blocks.
func (b *Board) keepHolders(keep map[*target]bool, c *chain) {
	levels := 0
	for i := b.beliefs.deepest(c); i >= 0 && levels < holdersPerBlock; i-- {
		e := b.beliefs.blocks.get(c.blocks[i])
		if e == nil {
			continue
		}
		levels++
		for _, h := range e.holders {
			if t, ok := b.slots[h.slot]; ok {
				keep[t] = true
			}
		}
	}
}

// predict fills in the wait and the cost of a candidate.
func (b *Board) predict(c *candidate, r *request) {
	t := c.target
	c.wait = t.queueWait()
	uncached := float64(r.promptTokens() - min(c.trusted, r.promptTokens()))
	prefill := seconds(uncached / t.rate())
	c.cost = c.wait + prefill + seconds(prefill.Seconds()*b.snap.Config.Placement.RecomputeWeight)
	if r.tried[t.addr] {
		c.cost += pricePerRetry
	}
}

// queueWait predicts how long a new request waits at the target before its own prefill.
func (t *target) queueWait() time.Duration {
	wait := seconds(float64(t.prefill+t.peerPrefill) / t.rate())
	if over := t.inFlight() - t.slots() + 1; over > 0 {
		wait += time.Duration(slotWaitFactor * float64(over) / float64(t.slots()) * float64(t.service))
	}
	return wait
}

func seconds(s float64) time.Duration {
	return time.Duration(math.Min(s, maxHorizon.Seconds()) * float64(time.Second))
}

// reason explains a placement to operators.
func (c *candidate) reason(r *request, n int) string {
	return fmt.Sprintf("predicted cost %s: wait %s, %d of %d prompt tokens believed cached, best of %d",
		c.cost.Round(time.Microsecond), c.wait.Round(time.Microsecond), c.trusted, r.promptTokens(), n)
}
