package soak

import (
	"cmp"
	"net/http"
)

// checkReleases checks that streams, also those that callers took up, have events of one release. It is that
// of the last run from the beginning, which an answer keeps if earlier ones brought no event.
func (v *verifier) checkReleases() {
	for _, a := range v.Attempts {
		if a.Kind != ResumeCall {
			continue
		}
		first := cmp.Or(a.Resumes, a.ID)
		release := v.releaseOf(first)
		for _, r := range v.runsOf[a.ID] {
			if release != "" && r.Events > 0 && r.Release != release && (a.ID != first || r.Resumed != "") {
				v.addViolation(StreamReleaseKept, r.StartedAt, a.ID, "stream of %s began at release %s, goes on at %s of %s after event %s", first, release, r.Replica, r.Release, r.Resumed)
				break
			}
		}
	}
}

// releaseOf returns the release that began a stream, empty if it brought no event.
func (v *verifier) releaseOf(id string) (release string) {
	for _, r := range v.runsOf[id] {
		if r.Resumed == "" && r.Events > 0 {
			release = r.Release
		}
	}
	return release
}

// Streams that callers resume are judged if there are minResumed of them whose release has minServing targets. The share
// of these that goes on must be minGoOnFraction of the share of new streams that begin.
const (
	minResumed      = 12
	minServing      = 2
	minGoOnFraction = 0.5
)

// checkResumed checks that callers who resume streams at nodes in contact fare about as well as those with new ones.
func (v *verifier) checkResumed() {
	releases := make(map[string]string)
	for _, r := range v.Runs {
		releases[r.Replica] = r.Release
	}
	var asked, begun, resumed int
	var refused []Attempt
	for _, a := range v.Attempts {
		if a.Kind != ResumeCall || a.Deadly || a.Left || a.Done.IsZero() || !v.inContact(a.Node, a.Sent, a.Done) {
			continue
		}
		served := a.Status == http.StatusOK
		switch {
		case a.Resumes == "" && served:
			asked++
			begun++
		case a.Resumes == "":
			asked++
		case v.serving(a, releases) >= minServing:
			if resumed++; !served {
				refused = append(refused, a)
			}
		}
	}
	wentOn := resumed - len(refused)
	if resumed >= minResumed && float64(wentOn)*float64(asked) < minGoOnFraction*float64(begun)*float64(resumed) {
		v.addViolation(ResumedGoesOn, refused[0].Done, refused[0].ID, "%d of %d resumed streams went on, %d of %d new ones began", wentOn, resumed, begun, asked)
	}
}

// serving counts the engines of a stream's release that could serve an attempt to resume it, by the releases of targets.
func (v *verifier) serving(a Attempt, releases map[string]string) (n int) {
	release := v.releaseOf(a.Resumes)
	for _, t := range v.Targets {
		if t.Service != engineName || releases[t.ID] != release || release == "" || t.Started.After(a.Sent.Add(-v.Bounds.Contact)) ||
			!t.DrainingSince.IsZero() && t.DrainingSince.Before(a.Done) || !t.Ended.IsZero() && t.Ended.Before(a.Done) {
			continue
		}
		if v.noFault(a.Sent.Add(-v.Bounds.Contact), a.Done, func(f InjectedFault) bool { return f.Scope == ScopeTarget && f.Subject == t.ID }) {
			n++
		}
	}
	return n
}
