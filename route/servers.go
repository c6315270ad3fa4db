package route

import "slices"

// server is a target that serves a model, with the weights it has.
type server struct {
	target  *target
	weights string
}

// serversKey identifies a model, with an adapter, in a pool.
type serversKey struct {
	pool           string
	model, adapter string
}

// serversList is a cached list of the servers of a model. It is valid for one version of the
// targets' states.
type serversList struct {
	version   uint64
	all       []server
	preferred []server
}

// servers returns the engines that may serve a request, from a list that is rebuilt only when the
// state of a target changed. A request whose answer has begun is restricted to the same weights.
// While fewer engines than the declared floor have the declared weights, engines with other weights
// serve as well.
func (b *Board) servers(p *pool, r *request) []server {
	key := serversKey{p.compiled.Name, r.Model.Name, r.Adapter}
	list, ok := b.serving[key]
	if !ok || list.version != b.version {
		list = b.listServers(p, r)
		b.serving[key] = list
	}
	switch {
	case b.staleness != nil && (r.weights == "" || r.ResumeAnywhere):
		return list.all
	case r.weights == "":
		return list.preferred
	}
	return slices.DeleteFunc(slices.Clone(list.all), func(s server) bool { return s.weights != r.weights })
}

func (b *Board) listServers(p *pool, r *request) *serversList {
	list := &serversList{version: b.version}
	var declared []server
	for _, t := range p.members {
		weights, ok := t.serves(r.Model.Name, r.Adapter)
		if !ok || !t.usable() {
			continue
		}
		list.all = append(list.all, server{t, weights})
		if weights == r.Model.Weights {
			declared = append(declared, server{t, weights})
		}
	}
	list.preferred = list.all
	if len(declared) > 0 && len(declared) >= r.Model.Floor {
		list.preferred = declared
	}
	return list
}

// narrow selects the candidates among the servers of a pool of n targets: the first in rendezvous
// order, the known holders of the prompt's blocks, and a few random ones.
func (b *Board) narrow(cs []candidate, list []server, n int, r *request) []candidate {
	b.round++
	c := r.chain(list[0].weights)
	b.holdersOf(c)
	b.markHolders(c)
	anchor := uint64(b.prefixes.affinityBlock(c))
	var top [rendezvousTop]server
	var ranks [rendezvousTop]uint64
	for _, s := range list {
		if s.target.round == b.round {
			cs = append(cs, candidate{target: s.target, weights: s.weights, chain: r.chain(s.weights)})
			continue
		}
		rank := weightedRank(mixHash(anchor^s.target.hash), s.target.home.value())
		if r.homes.setSize > 0 {
			rank = r.homes.rank(n, s.target.hash, s.target.home.value())
		}
		for i := range top {
			if rank > ranks[i] {
				rank, ranks[i] = ranks[i], rank
				s, top[i] = top[i], s
			}
		}
	}
	picks := top[:]
	for range randomExtra {
		picks = append(picks, list[b.rng.IntN(len(list))])
	}
	for _, s := range picks {
		if s.target != nil && s.target.round != b.round {
			s.target.round = b.round
			cs = append(cs, candidate{target: s.target, weights: s.weights, chain: r.chain(s.weights)})
		}
	}
	return cs
}

// holdersOf marks the holders of the deepest known blocks as candidates of the current round.
func (b *Board) holdersOf(c *chain) {
	levels := 0
	for l := b.prefixes.deepest(c); l >= 0 && levels < holdersPerBlock; l-- {
		e := b.prefixes.blocks.get(c.blocks[c.trackedBlocks[l]])
		if e == nil {
			continue
		}
		levels++
		for _, h := range e.holders {
			if t, ok := b.slots[h.slot]; ok {
				t.round = b.round
			}
		}
	}
}
