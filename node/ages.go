package node

import "time"

// viewAges is how old what a node decides by is.
type viewAges struct {
	list, confirmed time.Duration
	// relay is the age of the newest answer of a relay, with others' loads and what
	// targets hold, where the fleet is large and one answered lately.
	relay time.Duration
	// large and told say whether the fleet is large, and whether a relay told anything.
	large, relayHeard bool
}

// viewAges returns the ages at a time.
func (n *Node) viewAges(now time.Time) viewAges {
	out := viewAges{list: n.list.age(now)}
	out.confirmed = n.configStatus().age
	out.large, out.relay, out.relayHeard = n.relays.age(now)
	return out
}

// age is how old the newest reading of the list is.
func (l *targetList) age(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Sub(l.readAt)
}

// age is how old the newest word of a relay is. A relay itself hears from others too.
func (r *relays) age(now time.Time) (large bool, age time.Duration, told bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := r.roster.LastRelayContact()
	return r.large, now.Sub(at), !at.IsZero() && now.Sub(at) <= rosterTimeout
}

// recordAges counts how old what decides on a request is that comes now.
func (n *Node) recordAges(now time.Time) {
	a := n.viewAges(now)
	n.counters.listAge.Update(a.list.Seconds())
	n.counters.confirmedAge.Update(a.confirmed.Seconds())
	switch {
	case a.relayHeard:
		n.counters.relayAge.Update(a.relay.Seconds())
	case a.large:
		n.counters.withoutRelay.Inc()
	}
}
