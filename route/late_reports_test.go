package route

import "time"

// lateReports are the states that the routers of a simulated fleet reported in the last rounds.
// Reports travel over relays, so routers receive those of two rounds ago: the first of the three.
type lateReports [][]PeerState

// add adds a round and reports whether there are enough rounds for a delivery.
func (l *lateReports) add(now time.Time, boards []*Board) bool {
	states := make([]PeerState, len(boards))
	for i, b := range boards {
		states[i] = b.State(now)
	}
	if *l = append(*l, states); len(*l) < 3 {
		return false
	}
	*l = (*l)[len(*l)-3:]
	return true
}
