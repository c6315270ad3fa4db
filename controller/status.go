package controller

import (
	"net/netip"
	"time"

	"github.com/pathhead/pathhead/peer"
)

// Status is a fleet process's answer to the operators' status request. The first
// fields are the same as in a router's status.
type Status struct {
	Name     string        `json:"name"`
	Kind     string        `json:"kind"`
	Revision int64         `json:"revision"`
	Serving  bool          `json:"serving"`
	Peers    []peer.Status `json:"peers"`
	Pools    []PoolStatus  `json:"pools"`
}

// PoolStatus is the state of a pool's lease and, if this process holds it, of
// the pool's engines.
type PoolStatus struct {
	Pool    string            `json:"pool"`
	Holder  string            `json:"holder"`
	Fence   int64             `json:"fence"`
	Held    bool              `json:"held"`
	Engines []EngineStatus    `json:"engines,omitempty"`
	Stopped map[string]string `json:"stopped,omitempty"`
	// Blocked is the reason why no further engine is changed at present, if any.
	Blocked string `json:"blocked,omitempty"`
}

// EngineStatus is an engine's weights by model, as configured (Declared) and as
// reported by the engine (Seen), and the change in progress.
type EngineStatus struct {
	Name     string            `json:"name"`
	Addr     netip.AddrPort    `json:"addr"`
	Declared map[string]string `json:"declared"`
	Seen     map[string]string `json:"seen"`
	Busy     int               `json:"busy"`
	// Change is the phase of the change in progress, empty if there is none.
	Change string `json:"change,omitempty"`
	// Why describes the change in progress.
	Why string `json:"why,omitempty"`
}

func (c *Controller) status() Status {
	peers := c.gossip.Status()
	c.mu.Lock()
	defer c.mu.Unlock()
	s := Status{Name: c.set.Name, Kind: peer.KindFleet, Revision: c.document.Revision, Serving: c.snap != nil, Peers: peers}
	if c.snap == nil {
		return s
	}
	for _, p := range c.snap.Pools() {
		if w, ok := c.pools[p.Name]; ok {
			s.Pools = append(s.Pools, c.poolStatus(p.Name, w))
		}
	}
	return s
}

func (c *Controller) poolStatus(pool string, w *poolState) PoolStatus {
	holder, fence := w.lease.Holder()
	out := PoolStatus{Pool: pool, Holder: holder, Fence: fence, Held: w.lease.Holds(time.Now())}
	if !out.Held {
		return out
	}
	declared := make(map[string]string)
	for _, m := range c.snap.Config.Models {
		if m.Pool == pool {
			declared[m.Name] = m.Weights
		}
	}
	for _, e := range w.engines {
		es := EngineStatus{Name: e.Name, Addr: e.Addr, Declared: declared, Seen: e.Weights, Busy: e.Busy}
		for _, ch := range w.steps.Holds {
			if ch.Engine == e.Addr {
				es.Change = ch.Phase.String()
				es.Why = "to " + ch.Want.Model + " " + ch.Want.Weights + " from " + ch.Want.From
			}
		}
		out.Engines = append(out.Engines, es)
	}
	out.Blocked = w.planner.Blocked()
	out.Stopped = make(map[string]string)
	for r, why := range w.planner.StoppedRollouts() {
		out.Stopped[r.Model+" "+r.Weights] = why
	}
	return out
}
