package route

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// maxCrashedTargets bounds the crashed incarnations that are remembered.
const maxCrashedTargets = 2048

// crashedTarget is a crashed incarnation of a target, with the pool it belonged to if that is known.
type crashedTarget struct {
	target TargetKey
	at     time.Time
	pool   string
}

func compareCrashes(a, b crashedTarget) int {
	return cmp.Or(a.at.Compare(b.at), a.target.Target.Compare(b.target.Target), cmp.Compare(a.target.Incarnation, b.target.Incarnation))
}

// crashedTargets holds crashed incarnations by address.
type crashedTargets struct {
	byAddr map[netip.AddrPort][]crashedTarget
	count  int
}

// find returns the crash of an incarnation, which may be known by another name, or nil.
func (c *crashedTargets) find(m TargetKey) *crashedTarget {
	at := c.byAddr[m.Target]
	for i := range at {
		if at[i].target.Incarnation.Same(m.Incarnation) {
			return &at[i]
		}
	}
	return nil
}

func (c *crashedTargets) add(e crashedTarget) {
	c.byAddr[e.target.Target] = append(c.byAddr[e.target.Target], e)
	c.count++
}

// removeAt removes the crashes at an address that drop selects.
func (c *crashedTargets) removeAt(addr netip.AddrPort, drop func(e crashedTarget) bool) {
	at := c.byAddr[addr]
	left := slices.DeleteFunc(at, drop)
	c.count -= len(at) - len(left)
	if c.byAddr[addr] = left; len(left) == 0 {
		delete(c.byAddr, addr)
	}
}

// remove removes the crashes that drop selects.
func (c *crashedTargets) remove(drop func(e crashedTarget) bool) {
	for addr := range c.byAddr {
		c.removeAt(addr, drop)
	}
}

// ordered returns the crashes, oldest first.
func (c *crashedTargets) ordered() []crashedTarget {
	out := make([]crashedTarget, 0, c.count)
	for _, at := range c.byAddr {
		out = append(out, at...)
	}
	slices.SortFunc(out, compareCrashes)
	return out
}

// rememberCrashed records when an incarnation crashed, as observed first.
func (b *Board) rememberCrashed(m TargetKey, at time.Time) {
	c := &b.crashes
	if known := c.crashed.find(m); known != nil {
		if at.Before(known.at) {
			known.at = at
		}
		return
	}
	pool := ""
	if t := b.targets[m.Target]; t != nil && len(t.pools) > 0 {
		pool = t.pools[0].compiled.Name
	}
	c.makeRoomForCrash()
	c.crashed.add(crashedTarget{m, at, pool})
}

// makeRoomForCrash forgets the older half of the crashes if the limit is reached, but for those under held
// parts.
func (c *crashTracker) makeRoomForCrash() {
	if c.crashed.count < maxCrashedTargets {
		return
	}
	middle := c.crashed.ordered()[c.crashed.count/2].at
	c.crashed.remove(func(e crashedTarget) bool { return !e.at.After(middle) && !c.explained(e.target) })
}

// forgetCrashed forgets the crash of an incarnation that answered at the given time.
func (c *crashTracker) forgetCrashed(m TargetKey, at time.Time) {
	c.crashed.removeAt(m.Target, func(e crashedTarget) bool { return e.target.Incarnation.Same(m.Incarnation) && !e.at.After(at) })
	c.partsChanged = true
}
