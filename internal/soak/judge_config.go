package soak

import (
	"net/http"
	"slices"
	"time"
)

// sighting is what became of a request, as far as that tells of the configuration.
type sighting struct {
	a      *Attempt
	at     time.Time
	run    bool
	seen   handling
	newest int
}

// sightings lists them in the order of time.
func (j *judge) sightings() []sighting {
	var out []sighting
	add := func(a *Attempt, at time.Time, run bool, seen handling) {
		newest := 0
		for i, c := range j.Configs {
			if c.Sent.Before(at) {
				newest = i
			}
		}
		out = append(out, sighting{a, at, run, seen, newest})
	}
	for i := range j.Attempts {
		a := &j.Attempts[i]
		for _, r := range j.runsOf[a.ID] {
			add(a, r.StartedAt, true, handling{service: r.Service, organisation: r.Organisation()})
		}
		if a.Seal == "" && !a.Done.IsZero() {
			switch a.Status {
			case http.StatusNotFound:
				add(a, a.Done, false, handling{noPath: true})
			case http.StatusUnauthorized:
				add(a, a.Done, false, handling{noKey: true})
			}
		}
	}
	slices.SortStableFunc(out, func(a, b sighting) int { return a.at.Compare(b.at) })
	return out
}

// oldest returns the first configuration from a place on that allows a sighting, or -1.
func (j *judge) oldest(s sighting, from int) int {
	for i := from; i <= s.newest; i++ {
		if handle(j.Configs[i].Config, s.a.Path, s.a.Key).allows(s.seen) {
			return i
		}
	}
	return -1
}

// inForce returns the place of the newest configuration that was acknowledged a bound before a time.
func (j *judge) inForce(at time.Time, bound time.Duration) int {
	place := 0
	for i, c := range j.Configs {
		if !c.Acked.IsZero() && c.Acked.Add(bound).Before(at) {
			place = i
		}
	}
	return place
}

// effects are when a process was first seen to have each configuration, by its place.
type effects []struct {
	at    time.Time
	place int
}

// add notes that a process had a configuration, or a newer one, at a time that is not before the others.
func (e effects) add(at time.Time, place int) effects {
	if len(e) > 0 && e[len(e)-1].place >= place {
		return e
	}
	return append(e, struct {
		at    time.Time
		place int
	}{at, place})
}

// before returns the newest configuration that was seen before a time.
func (e effects) before(at time.Time) int {
	place := 0
	for _, one := range e {
		if one.at.Before(at) {
			place = one.place
		}
	}
	return place
}

// slowed is how many times longer a process that is not in touch may answer by an older configuration.
const slowed = 8

// configs checks what was handled against the configurations that may be in force.
func (j *judge) configs() {
	type process struct {
		node string
		boot int
	}
	had := make(map[process]effects)
	for _, s := range j.sightings() {
		first := j.oldest(s, 0)
		if first < 0 {
			j.breach(AsSent, s.at, s.a.ID, "no configuration so far allows %+v", s.seen)
			continue
		}
		if s.run && j.keyGone(s) {
			j.breach(KeysGone, s.at, s.a.ID, "%s ran %s after it was sent by %s", s.a.Key, s.at.Sub(s.a.Sent), s.a.Node)
		}
		touch := j.inTouch(s.a.Node, s.a.Sent, s.at)
		if place := j.inForce(s.a.Sent, j.Bounds.Apply); touch && j.oldest(s, place) < 0 {
			j.breach(ConfigInTime, s.at, s.a.ID, "%s handled it as %+v, version %d was in force", s.a.Node, s.seen, j.Configs[place].Config.Version)
		}
		p, slack := process{s.a.Node, s.a.Boot}, j.Bounds.Back
		if !touch {
			slack *= slowed
		}
		if place := had[p].before(s.a.Sent.Add(-slack)); j.oldest(s, place) < 0 {
			j.breach(NeverBack, s.at, s.a.ID, "%s handled it as %+v after it had version %d", s.a.Node, s.seen, j.Configs[place].Config.Version)
		}
		if s.run {
			had[p] = had[p].add(s.at, first)
		}
	}
}

// keyGone reports whether a request ran with a key that was removed a bound before
// it was sent. That holds for all nodes, in touch or not.
func (j *judge) keyGone(s sighting) bool {
	for i := j.inForce(s.a.Sent, j.Bounds.Revoke); i <= s.newest; i++ {
		if !handle(j.Configs[i].Config, s.a.Path, s.a.Key).noKey {
			return false
		}
	}
	return true
}

// How many proper requests may be denied by nodes in touch, of so many, and by others.
const (
	deniedMost  = 5
	deniedEvery = 500
	deniedOut   = 10
)

// denied checks that what every configuration allows is not denied.
func (j *judge) denied() {
	var in, out []string
	var last time.Time
	for i := range j.Attempts {
		a := &j.Attempts[i]
		if a.Done.IsZero() || a.Status < 300 || a.Status >= 500 || a.Seal != "" || a.promised() {
			continue
		}
		proper := !slices.ContainsFunc(j.Configs, func(c Declared) bool {
			h := handle(c.Config, a.Path, a.Key)
			return h.noPath || h.noKey
		})
		switch {
		case !proper:
		case j.inTouch(a.Node, a.Sent, a.Done):
			in, last = append(in, a.ID), a.Done
		default:
			out, last = append(out, a.ID), a.Done
		}
	}
	if len(in) > deniedMost+len(j.Attempts)/deniedEvery || len(out) > deniedOut {
		j.breach(FewDenied, last, append(in, out...)[0], "%d by nodes in touch, %d by others", len(in), len(out))
	}
}
