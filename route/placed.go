package route

import "time"

// Placed tells of a request that takes its target long: what the router has in
// flight there now, and the shared parts that are read.
type Placed struct {
	Load  Load
	Fills []Fill
}

// placedLeast is the prefill from which a request is told of at once, in tokens.
const placedLeast = 512

// tellPlaced tells of a request that is being sent.
func (b *Board) tellPlaced(c *candidate, a *attempt) {
	if a.uncached < placedLeast {
		return
	}
	t := c.target
	out := Placed{Load: Load{Mark{t.addr, t.incarnation}, len(t.attempts), t.prefill, t.tokens}}
	have := max(c.trusted, c.imported.Tokens, c.fetched)
	for _, n := range c.chain.bounds[:max(0, len(c.chain.bounds)-1)] {
		if c.chain.tokens[n] >= have+fetchLeast {
			out.Fills = append(out.Fills, Fill{Target: out.Load.Target, Block: c.chain.blocks[n]})
		}
	}
	b.placed(out)
}

// Filling takes a peer's word on shared parts that targets are reading.
func (b *Board) Filling(now time.Time, fills []Fill) {
	b.mergeFills(now, map[string]PeerState{"": {Fills: fills}})
}
