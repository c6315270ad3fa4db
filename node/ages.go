package node

import "time"

// viewAges holds the ages of the state that a node routes by.
type viewAges struct {
	list, confirmed time.Duration
	// relay is the age of the newest answer of a relay, which carries the loads of other nodes and
	// the cache contents of targets. It is set in a large fleet where a relay answered within the
	// roster timeout.
	relay time.Duration
	// large reports whether the fleet is large, relayAnswered whether a relay answered within the
	// roster timeout.
	large, relayAnswered bool
}

// viewAges returns the ages of the node's state at now.
func (n *Node) viewAges(now time.Time) viewAges {
	out := viewAges{list: n.list.age(now)}
	out.confirmed = n.configStatus().age
	out.large, out.relay, out.relayAnswered = n.relays.age(now)
	return out
}

// age returns the age of the newest reading of the list.
func (l *targetList) age(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Sub(l.readAt)
}

// age returns the age of the newest answer from a relay. A relay itself receives answers from other
// relays.
func (r *relays) age(now time.Time) (large bool, age time.Duration, answered bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := r.roster.LastRelayContact()
	return r.large, now.Sub(at), !at.IsZero() && now.Sub(at) <= rosterTimeout
}

// recordAges records, for a request that arrives now, the ages of the state that it is routed by.
func (n *Node) recordAges(now time.Time) {
	a := n.viewAges(now)
	n.counters.listAge.Update(a.list.Seconds())
	n.counters.confirmedAge.Update(a.confirmed.Seconds())
	switch {
	case a.relayAnswered:
		n.counters.relayAge.Update(a.relay.Seconds())
	case a.large:
		n.counters.withoutRelay.Inc()
	}
}
