package soak

import (
	"net/http"
	"slices"
	"time"
)

// observation is the outcome of a request as far as it shows which configuration was used.
type observation struct {
	a       *Attempt
	at      time.Time
	run     bool
	outcome configOutcome
	newest  int
}

// observations returns all observations ordered by time.
func (v *verifier) observations() []observation {
	var out []observation
	add := func(a *Attempt, at time.Time, run bool, seen configOutcome) {
		newest := 0
		for i, c := range v.Configs {
			if c.Sent.Before(at) {
				newest = i
			}
		}
		out = append(out, observation{a, at, run, seen, newest})
	}
	for i := range v.Attempts {
		a := &v.Attempts[i]
		for _, r := range v.runsOf[a.ID] {
			add(a, r.StartedAt, true, configOutcome{service: r.Service, organisation: r.Organisation()})
		}
		if a.Seal == "" && !a.Done.IsZero() {
			switch a.Status {
			case http.StatusNotFound:
				add(a, a.Done, false, configOutcome{noPath: true})
			case http.StatusUnauthorized:
				add(a, a.Done, false, configOutcome{noKey: true})
			}
		}
	}
	slices.SortStableFunc(out, func(a, b observation) int { return a.at.Compare(b.at) })
	return out
}

// oldestMatching returns the index of the first configuration, starting at from, that allows
// an observation, or -1 if none does.
func (v *verifier) oldestMatching(s observation, from int) int {
	for i := from; i <= s.newest; i++ {
		if expectedOutcome(v.Configs[i].Config, s.a.Path, s.a.Key).allows(s.outcome) {
			return i
		}
	}
	return -1
}

// newestInForce returns the index of the newest configuration that was acknowledged more
// than bound before a time.
func (v *verifier) newestInForce(at time.Time, bound time.Duration) int {
	index := 0
	for i, c := range v.Configs {
		if !c.Acked.IsZero() && c.Acked.Add(bound).Before(at) {
			index = i
		}
	}
	return index
}

// configHistory lists the times at which a process was first observed to use each
// configuration, which is given by its index.
type configHistory []struct {
	at    time.Time
	index int
}

// add records that a process used a configuration, or a newer one, at a time that is not
// before those recorded.
func (e configHistory) add(at time.Time, index int) configHistory {
	if len(e) > 0 && e[len(e)-1].index >= index {
		return e
	}
	return append(e, struct {
		at    time.Time
		index int
	}{at, index})
}

// newestBefore returns the index of the newest configuration that was observed before a time.
func (e configHistory) newestBefore(at time.Time) int {
	index := 0
	for _, entry := range e {
		if entry.at.Before(at) {
			index = entry.index
		}
	}
	return index
}

// outOfContactFactor multiplies the time for which a process that is not in contact may still
// use an older configuration.
const outOfContactFactor = 8

// checkConfigs checks that each request was handled by a configuration that may be in force.
func (v *verifier) checkConfigs() {
	type process struct {
		node string
		boot int
	}
	histories := make(map[process]configHistory)
	for _, s := range v.observations() {
		first := v.oldestMatching(s, 0)
		if first < 0 {
			v.addViolation(RequestUnaltered, s.at, s.a.ID, "no configuration up to then allows %+v", s.outcome)
			continue
		}
		if s.run && v.keyRevoked(s) {
			v.addViolation(KeysRevoked, s.at, s.a.ID, "request with removed key %s ran %s after it was sent to %s", s.a.Key, s.at.Sub(s.a.Sent), s.a.Node)
		}
		inContact := v.inContact(s.a.Node, s.a.Sent, s.at)
		if index := v.newestInForce(s.a.Sent, v.Bounds.Apply); inContact && v.oldestMatching(s, index) < 0 {
			v.addViolation(ConfigApplied, s.at, s.a.ID, "%s handled it as %+v although version %d was in force", s.a.Node, s.outcome, v.Configs[index].Config.Version)
		}
		p, slack := process{s.a.Node, s.a.Boot}, v.Bounds.StaleConfig
		if !inContact {
			slack *= outOfContactFactor
		}
		if index := histories[p].newestBefore(s.a.Sent.Add(-slack)); v.oldestMatching(s, index) < 0 {
			v.addViolation(ConfigMonotonic, s.at, s.a.ID, "%s handled it as %+v although it had used version %d before", s.a.Node, s.outcome, v.Configs[index].Config.Version)
		}
		if s.run {
			histories[p] = histories[p].add(s.at, first)
		}
	}
}

// keyRevoked reports whether a request ran with a key that was removed longer than the
// revocation bound before the request was sent. The bound applies to all nodes, in contact
// or not.
func (v *verifier) keyRevoked(s observation) bool {
	for i := v.newestInForce(s.a.Sent, v.Bounds.Revoke); i <= s.newest; i++ {
		if !expectedOutcome(v.Configs[i].Config, s.a.Path, s.a.Key).noKey {
			return false
		}
	}
	return true
}

// The number of valid requests that nodes in contact may reject is maxDenied, plus one per
// attemptsPerDenied attempts. maxDeniedOutOfContact is the number for other nodes.
const (
	maxDenied             = 5
	attemptsPerDenied     = 500
	maxDeniedOutOfContact = 10
)

// checkDenied checks that requests that every configuration allows are not rejected.
func (v *verifier) checkDenied() {
	var inContact, outOfContact []string
	var last time.Time
	for i := range v.Attempts {
		a := &v.Attempts[i]
		if a.Done.IsZero() || a.Status < 300 || a.Status >= 500 || a.Seal != "" || a.refusedNotRun() {
			continue
		}
		allowed := !slices.ContainsFunc(v.Configs, func(c ConfigWrite) bool {
			h := expectedOutcome(c.Config, a.Path, a.Key)
			return h.noPath || h.noKey
		})
		switch {
		case !allowed:
		case v.inContact(a.Node, a.Sent, a.Done):
			inContact, last = append(inContact, a.ID), a.Done
		default:
			outOfContact, last = append(outOfContact, a.ID), a.Done
		}
	}
	if len(inContact) > maxDenied+len(v.Attempts)/attemptsPerDenied || len(outOfContact) > maxDeniedOutOfContact {
		v.addViolation(ValidAccepted, last, append(inContact, outOfContact...)[0], "%d valid requests rejected by nodes in contact, %d by others", len(inContact), len(outOfContact))
	}
}
