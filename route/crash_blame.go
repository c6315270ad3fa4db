package route

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"time"
)

// Which part of prompts is to blame for the crashes of targets; crash_parts.go states the rules.

// Constants of telling which part crashes targets.
const (
	// crashMoment is the time within which targets are taken to have crashed at one moment.
	crashMoment = 25 * time.Millisecond
	// comparedCrashes is the number of crashes, up to the newest under a part, that are compared.
	comparedCrashes = maxCrashesPerPart
	// alikeFraction is the fraction, as its inverse, by which a part may be at fewer crashes than another
	// one and be as suspect: a crash may be reported for only one of them yet.
	alikeFraction = 10
	// maxBlamedParts is the number of rarer parts that may together explain the crashes under a part.
	maxBlamedParts = 2
	// maxJointParts is the number of parts that may explain crashes only together.
	maxJointParts = 3
	// soundDoubt is the doubt about a part known as sound while all attempts are lost.
	soundDoubt = 3
)

// partHold is a part of prompts that is held.
type partHold struct {
	until time.Time
	// crashes is the number of targets that crashed under it and no other held part.
	crashes int
}

// heldParts returns the parts that explain the crashes, with until when they are held. It is computed
// again after the crashes have changed.
func (c *crashTracker) heldParts() map[Fingerprint]partHold {
	if !c.partsChanged {
		return c.held
	}
	c.partsChanged = false
	before := maps.Clone(c.held)
	clear(c.held)
	c.ordered = c.crashed.ordered()
	var joint []Fingerprint
	for suspected := c.suspectParts(); len(suspected) > 0; {
		f := c.mostSuspect(suspected)
		suspected = slices.DeleteFunc(suspected, func(g Fingerprint) bool { return g == f })
		if c.blamedOnHeld(f, before) || c.blamedOnRarer(f, suspected) {
			continue
		}
		ends := c.unexplained(f)
		conclusive := c.conclusive(f, ends)
		if conclusive || c.mayBeJoint(f, ends, joint) {
			c.held[f] = c.holdAfter(ends)
			if len(joint) > 0 || !conclusive {
				joint = append(joint, f)
			}
		}
	}
	c.releaseUnproven(joint)
	return c.held
}

// suspectParts returns the parts under which enough targets crashed that they may be held.
func (c *crashTracker) suspectParts() (out []Fingerprint) {
	for f, s := range c.suspects {
		if s.part && len(s.crashes) >= c.PartTargets {
			out = append(out, f)
		}
	}
	return out
}

// mayBeJoint reports whether a part may explain crashes together with other parts, neither of which was at
// enough of them alone.
func (c *crashTracker) mayBeJoint(f Fingerprint, ends []crashedTarget, joint []Fingerprint) bool {
	return len(ends) >= c.PartTargets && len(joint) < maxJointParts && c.sound.get(f) == nil
}

// releaseUnproven releases the parts that are not conclusive if the others are taken to be. Many that
// explain crashes together are a coincidence.
func (c *crashTracker) releaseUnproven(joint []Fingerprint) {
	if len(joint) > maxJointParts {
		for _, f := range joint {
			delete(c.held, f)
		}
		return
	}
	for i := 0; i < len(joint); {
		f := joint[i]
		delete(c.held, f)
		ends := c.unexplained(f)
		if c.conclusive(f, ends) {
			c.held[f] = c.holdAfter(ends)
			i++
			continue
		}
		joint = slices.Delete(joint, i, i+1)
		i = 0
	}
}

// mostSuspect returns the part that the fewest requests have among those at about as many crashes as the
// part at most of them. Only crashes that held parts leave unexplained count.
func (c *crashTracker) mostSuspect(parts []Fingerprint) Fingerprint {
	most := 0
	ends := make(map[Fingerprint]int, len(parts))
	for _, f := range parts {
		ends[f] = len(c.unexplained(f))
		most = max(most, ends[f])
	}
	alike := slices.DeleteFunc(slices.Clone(parts), func(f Fingerprint) bool { return ends[f] < most-alikeTolerance(most) })
	return slices.MinFunc(alike, func(f, g Fingerprint) int {
		return cmp.Or(cmp.Compare(c.requestsWith(f), c.requestsWith(g)), cmp.Compare(ends[g], ends[f]), bytes.Compare(f[:], g[:]))
	})
}

// alikeTolerance returns by how many crashes two parts may differ that were at as many as given.
func alikeTolerance(crashes int) int { return max(1, crashes/alikeFraction) }

// requestsWith returns how many requests of this process had a part lately.
func (c *crashTracker) requestsWith(f Fingerprint) float64 {
	if m := c.seen.get(f); m != nil {
		return m.value
	}
	return 0
}

// unexplained returns the crashes under a part at which no held part ran, oldest first, as far as they are
// among the newest of all crashes up to the last of them.
func (c *crashTracker) unexplained(f Fingerprint) []crashedTarget {
	var out []crashedTarget
	s := c.suspects[f]
	from := c.comparedFrom(s.newest)
	for m, e := range s.crashes {
		if e.at.Before(from) || c.explained(m) {
			continue
		}
		// All parts take the time from here, since each may have been reported by another process.
		if known := c.crashed.find(m); known != nil {
			out = append(out, *known)
		}
	}
	slices.SortFunc(out, compareCrashes)
	return out
}

// comparedFrom returns the time from which on crashes up to the given time are compared.
func (c *crashTracker) comparedFrom(to time.Time) (from time.Time) {
	after, _ := slices.BinarySearchFunc(c.ordered, to, func(e crashedTarget, to time.Time) int {
		if e.at.After(to) {
			return 1
		}
		return -1
	})
	if after > comparedCrashes {
		from = c.ordered[after-comparedCrashes].at
	}
	return from
}

// explained reports whether a held part ran at a crashed target.
func (c *crashTracker) explained(m TargetKey) bool {
	for f := range c.held {
		if s := c.suspects[f]; s != nil && s.ranAt(m) {
			return true
		}
	}
	return false
}

// blamedOnHeld reports whether rarer parts that were held before explain so many of the crashes under a part
// that the rest is no evidence.
func (c *crashTracker) blamedOnHeld(f Fingerprint, before map[Fingerprint]partHold) bool {
	if _, held := before[f]; held {
		return false
	}
	left := c.unexplained(f)
	for g := range before {
		if s := c.suspects[g]; s != nil && c.requestsWith(g) < c.requestsWith(f) {
			left = slices.DeleteFunc(left, func(e crashedTarget) bool { return s.ranAt(e.target) })
		}
	}
	return len(left) < c.PartTargets
}

// blamedOnRarer reports whether a few other suspect parts, which fewer requests have and whose answers never
// went on, explain the crashes under a part.
func (c *crashTracker) blamedOnRarer(f Fingerprint, others []Fingerprint) bool {
	left := c.unexplained(f)
	tolerated := alikeTolerance(len(left))
	requests := c.requestsWith(f)
	for range maxBlamedParts {
		most := Fingerprint{}
		at := 0
		for _, g := range others {
			if n := c.countUnder(g, left); n > at && c.requestsWith(g) < requests && c.sound.get(g) == nil {
				most, at = g, n
			}
		}
		if at < c.PartTargets {
			return false
		}
		left = slices.DeleteFunc(left, func(e crashedTarget) bool { return c.suspects[most].ranAt(e.target) })
		if len(left) <= tolerated {
			return true
		}
	}
	return false
}

// countUnder counts the crashes of targets that ran a part.
func (c *crashTracker) countUnder(f Fingerprint, crashes []crashedTarget) (n int) {
	for _, e := range crashes {
		if c.suspects[f].ranAt(e.target) {
			n++
		}
	}
	return n
}

// conclusive reports whether the crashes under a part, oldest first, are evidence enough to hold it. The
// less of all crashes in that time they are, the more of them are needed.
func (c *crashTracker) conclusive(f Fingerprint, under []crashedTarget) bool {
	if len(under) < c.PartTargets {
		return false
	}
	first, last := under[0], under[len(under)-1]
	if last.at.Sub(first.at) < c.PartSpan {
		return false
	}
	all := c.unexplainedBetween(first.at, last.at, first.pool)
	moments, of := 0, 0
	for len(all) > 0 {
		n := 1
		for n < len(all) && all[n].at.Sub(all[0].at) < crashMoment {
			n++
		}
		of++
		if 2*c.countUnder(f, all[:n]) >= n {
			moments++
		}
		all = all[n:]
	}
	share := float64(moments) / float64(of)
	return float64(moments)*share >= float64(c.PartTargets)*(1+c.doubt(f))
}

// doubt returns how many times as much evidence is needed in addition against a part whose answers went on
// before. While many requests are lost, those with an innocent part are lost by chance.
func (c *crashTracker) doubt(f Fingerprint) float64 {
	if c.sound.get(f) == nil {
		return 0
	}
	return soundDoubt * c.lost.value / (c.ended.value + 1)
}

// unexplainedBetween returns the crashes of targets of a pool in a time at which no held part ran, oldest
// first.
func (c *crashTracker) unexplainedBetween(from, to time.Time, pool string) []crashedTarget {
	var out []crashedTarget
	for _, e := range c.ordered {
		other := pool != "" && e.pool != "" && e.pool != pool
		if !other && !e.at.Before(from) && !e.at.After(to) && !c.explained(e.target) {
			out = append(out, e)
		}
	}
	return out
}

// holdAfter returns the hold of a part after crashes, oldest first. Each crash after a hold has expired
// doubles the next one.
func (c *crashTracker) holdAfter(under []crashedTarget) partHold {
	expired := 0
	for i := 1; i < len(under); i++ {
		if under[i].at.Sub(under[i-1].at) >= c.Hold {
			expired++
		}
	}
	last := under[len(under)-1].at
	return partHold{until: last.Add(c.Hold << min(maxHoldDoublings, expired)), crashes: len(under)}
}
