package node

import (
	"context"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/pathhead/pathhead/event"
	"github.com/pathhead/pathhead/fleet"
	"github.com/pathhead/pathhead/peer"
	"github.com/pathhead/pathhead/policy"
	"github.com/pathhead/pathhead/route"
)

// A stream goes on only at the release of its target's software that began it. The board knows the splits
// by which the release follows from a request's id. The nodes keep the splits in a row of the store and
// gossip them, and each remembers the streams that it began.

// Intervals and timeouts of the splits.
const (
	// releaseInterval is the time between two checks of the splits while a pool has several releases.
	releaseInterval = 500 * time.Millisecond
	// takeOverTime is how long a change is left to the node that is chosen for it.
	takeOverTime = 3 * time.Second
	// streamQueryTime bounds the queries to other nodes for the release of a stream; they are some
	// milliseconds away, and the caller waits.
	streamQueryTime = 150 * time.Millisecond
	// undividedRetry is the Retry-After of a new stream in a pool that is not divided yet.
	undividedRetry = 400 * time.Millisecond
)

// releaseSource is where a node knows the release of a stream from.
type releaseSource string

// Sources of the release of a stream that a caller resumes.
const (
	releaseBySplit  releaseSource = "split"
	releaseByMemory releaseSource = "memory"
	releaseByPeer   releaseSource = "peer"
	releaseByRecord releaseSource = "store"
	releaseUnknown  releaseSource = "unknown"
)

// releases keeps the splits of the pools.
type releases struct {
	n     *Node
	begun *streamMemory
	// record makes the releases of streams outlast this process.
	record *streamRecord

	mu sync.Mutex
	// readAt and listedAt are when the last read of the row and of the list began of which the board has
	// the result.
	readAt, listedAt time.Time
	// fromOthers is set once the board has the splits from a node that knew them.
	fromOthers bool
	// contactAt are the beginnings of the calls to other nodes that were answered lately and of which
	// the board has the result; in a large fleet those to relays.
	contactAt []time.Time
	// fleet is the number of nodes that were there recently, or when the list was last read.
	fleet int
	// neededSince is when a change of a pool's splits was first needed.
	neededSince map[string]time.Time

	// lives is guarded by the lock of the node.
	lives streamLives
}

func newReleases(n *Node) *releases {
	return &releases{n: n, begun: newStreamMemory(), record: newStreamRecord(n), neededSince: make(map[string]time.Time)}
}

// loop keeps the splits until ctx ends. It does nothing while all pools have one release.
func (s *releases) loop(ctx context.Context) {
	every := idleInterval
	for pause(ctx, s.n.jitter(every)) {
		if every = idleInterval; !s.round(ctx) {
			continue
		}
		every = releaseInterval
	}
}

// round changes the splits that have to change, and reports whether a pool has several releases.
func (s *releases) round(ctx context.Context) bool {
	contact := s.contact()
	pools := s.several()
	if !s.known() && s.n.now.Since(s.n.startedAt) > startTime {
		// Neither a relay nor another node has told it, as where these are of an earlier release of this program.
		s.refresh(ctx)
	}
	if len(pools) == 0 {
		s.writeFirst(ctx)
		return false
	}
	due := false
	for _, pool := range pools {
		due = s.due(pool) || due
	}
	switch {
	case s.n.stopping() || s.n.relays.followsRelay():
	case due:
		if err := s.write(ctx); err != nil && ctx.Err() == nil {
			s.n.log.Debug("recording the splits of releases failed", "error", err)
		}
	case contact == contactFew:
		s.refresh(ctx)
	}
	return true
}

// refresh reads the row, which the next round does again if it fails.
func (s *releases) refresh(ctx context.Context) {
	if _, _, err := s.read(ctx); err != nil && ctx.Err() == nil {
		s.n.log.Debug("reading the splits of releases failed", "error", err)
	}
}

// writeFirst has one node record the pools whose only release nothing in the store tells. Processes remember it until
// they end.
func (s *releases) writeFirst(ctx context.Context) {
	n := s.n
	n.Lock()
	first := n.Board().FirstReleases()
	n.Unlock()
	if len(first) == 0 || !s.known() || n.stopping() || n.relays.followsRelay() {
		return
	}
	if _, owns := s.owner(releasesRow); !owns {
		return
	}
	if err := s.write(ctx); err != nil && ctx.Err() == nil {
		n.log.Debug("recording the releases of pools failed", "error", err)
	}
}

// several returns the pools with several releases, without splits that are no longer needed.
func (s *releases) several() []string {
	n := s.n
	n.Lock()
	defer n.Unlock()
	b, life := n.Board(), s.streamLife()
	pools := b.SeveralReleases()
	for _, pool := range pools {
		b.ForgetOldSplits(n.now(), pool, life)
	}
	return pools
}

// due reports whether this node is to change the splits of a pool now. One node is chosen by rendezvous
// hashing; the others take over if it does not act.
func (s *releases) due(pool string) bool {
	n := s.n
	n.Lock()
	_, needed := n.Board().NextReleases(n.now(), pool, s.streamLife())
	n.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !needed {
		delete(s.neededSince, pool)
		return false
	}
	since, ok := s.neededSince[pool]
	if !ok {
		since = n.now()
		s.neededSince[pool] = since
	}
	_, owns := s.owner(pool)
	return owns || n.now.Since(since) >= takeOverTime
}

// owner returns the node that is chosen for a duty among those that read the store, by rendezvous hashing.
func (s *releases) owner(duty string) (owner fleet.Member, self bool) {
	return s.n.dutyOwner(s.n.dutyMembers(), xxh3.HashString(duty))
}

// streamLives remembers how long streams may last that began under earlier configurations: the present life
// and the longer ones that still matter, the longest first.
type streamLives []streamLifeUntil

// streamLifeUntil is the life of streams, and until when one of them may be taken up.
type streamLifeUntil struct {
	life  time.Duration
	until time.Time
}

// longest records the present life of streams, and returns the longest one that still matters.
func (l *streamLives) longest(now time.Time, life time.Duration) time.Duration {
	kept := slices.DeleteFunc(*l, func(k streamLifeUntil) bool { return k.life <= life || !now.Before(k.until) })
	*l = append(kept, streamLifeUntil{life, now.Add(life + route.LateSplitTime)})
	return (*l)[0].life
}

// streamLife returns how long a stream that may be under way may last. The node must be locked.
func (s *releases) streamLife() time.Duration {
	snap := s.n.Board().Snapshot()
	if snap == nil {
		// No stream has begun under a configuration that this node knows.
		return defaultTimeout
	}
	return s.lives.longest(s.n.now(), streamLife(snap))
}

// streamLife returns how long a stream may last that begins under a configuration, over all tries of its
// caller.
func streamLife(snap *policy.Snapshot) time.Duration {
	life := time.Duration(0)
	for _, rt := range snap.Config.Routes {
		if !rt.Resumable {
			continue
		}
		timeout := time.Duration(rt.Timeout)
		if timeout == 0 {
			timeout = defaultTimeout
		}
		life = max(life, timeout)
	}
	return life
}

// contactTime is how old an answered call to another node may be for this node to have the splits that the
// other one has. It is shorter than [route.SplitLead] by more than the time in which a split reaches the nodes.
const contactTime = 1200 * time.Millisecond

// contacts returns the beginnings of the calls to other nodes that were answered lately.
func (s *releases) contacts() []time.Time {
	n := s.n
	if large, at := n.relays.contact(); large {
		return []time.Time{at}
	}
	return slices.Collect(maps.Values(n.gossip.Answered(n.now().Add(-contactTime))))
}

// setContacts records contacts of which the board has the result.
func (s *releases) setContacts(at []time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.contactAt = at
}

// setListed records a reading of the list that the board has.
func (s *releases) setListed(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at.After(s.listedAt) {
		s.listedAt = at
	}
}

// contactLevel is how much of the fleet answered a node recently.
type contactLevel int

// Levels of contact: at most half of the nodes, more, or all of them. In a large fleet, an answer of a relay
// counts as more than half.
const (
	contactFew contactLevel = iota
	contactMost
	contactAll
)

// contact returns how much of the fleet answered this node recently. Messages that others sent by themselves
// do not count: they may have been in transit, or in the sockets of this process while it was stopped.
func (s *releases) contact() contactLevel {
	n := s.n
	large, _ := n.relays.contact()
	n.Lock()
	recent := max(n.Board().RecentRouters(), len(n.settings().Seeds))
	n.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	answered, now := 1, n.now()
	for _, at := range s.contactAt {
		if now.Sub(at) <= contactTime {
			answered++
		}
	}
	// While the list cannot be read, a fleet that seems smaller may be one from which this node is cut off,
	// for any time, and a node without contact does not know whether there are others.
	unread := now.Sub(s.listedAt) > route.SplitLead
	if unread {
		recent = max(recent, s.fleet)
	}
	s.fleet = recent
	switch {
	case large && answered > 1:
		return contactMost
	case large, answered == 1 && unread, 2*answered <= recent:
		return contactFew
	case answered < recent:
		return contactMost
	}
	return contactAll
}

// late reports whether a split may have taken effect that this node does not know, since it has read nothing
// for the given time. What most nodes know is enough while they read the list; if the store does not answer
// them either, the remaining nodes may have written a split.
func (s *releases) late(pool string, limit time.Duration) bool {
	n := s.n
	contact := s.contact()
	n.Lock()
	several := n.Board().HasSeveralReleases(pool)
	n.Unlock()
	now := n.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	unread := now.Sub(s.listedAt) > route.SplitLead
	if contact == contactAll || contact == contactMost && !(unread && several) {
		return false
	}
	return now.Sub(s.listedAt) > limit || several && now.Sub(s.readAt) > limit
}

// pinRelease restricts a request whose answer may be resumed by its caller to one release. It returns a
// refusal if that is not known.
func (n *Node) pinRelease(v *callerRequest, req *route.Request) *route.Refusal {
	continues := v.info.LastEvent != "" || v.info.Resumes != "" || v.handed != nil && v.handed.lastEvent != ""
	if v.handed != nil && v.handed.release.Set {
		// The other node pinned it by its own configuration, in which the route may be of another kind.
		req.Pin, req.Continues = v.handed.release, continues
		return nil
	}
	if !req.Streams || !v.route.Resumable {
		return nil
	}
	if req.Continues = continues; continues {
		return n.releases.pinContinuation(v, req)
	}
	return n.releases.pinNew(v, req)
}

// pinNew pins a new stream to the release of its id.
func (s *releases) pinNew(v *callerRequest, req *route.Request) *route.Refusal {
	n := s.n
	if !s.whileStarting(v.r.Context(), s.started) {
		return &route.Refusal{Cause: route.CauseNoTarget, RetryAfter: undividedRetry, Detail: "this node has just started and does not know the releases of the pool"}
	}
	n.Lock()
	release, ok := n.Board().NewStreamRelease(n.now(), req.Pool, v.info.ID)
	several := n.Board().HasSeveralReleases(req.Pool)
	n.Unlock()
	switch {
	case !ok && !several:
		return nil
	case !ok:
		return &route.Refusal{Cause: route.CauseNoTarget, RetryAfter: undividedRetry, Detail: "the streams of the pool are not divided among its releases yet"}
	case several && s.late(req.Pool, route.LateSplitTime):
		return &route.Refusal{Cause: route.CauseNoTarget, RetryAfter: fencedRetry, Detail: "the splits of the pool may have changed"}
	}
	req.Pin = route.PinTo(release)
	s.remember(req.Pool, v.info.ID, release)
	return nil
}

// remember keeps the release of a stream that this node begins or resumes.
func (s *releases) remember(pool, id, release string) {
	now := s.n.now()
	s.begun.add(now, id, release)
	s.record.add(now, pool, id, release)
}

// pinContinuation pins a stream that its caller resumes to the release that began it.
func (s *releases) pinContinuation(v *callerRequest, req *route.Request) *route.Refusal {
	release, by, doubt := s.releaseOf(v.r.Context(), req.Pool, v.info.Resumes)
	s.n.counters.resumed(by)
	s.logTakenUp(v, req.Pool, release, by, doubt)
	if by == releaseUnknown {
		return &route.Refusal{Cause: route.CauseNoTarget, RetryAfter: undividedRetry, Detail: "the release that began the stream is not known: " + doubt}
	}
	req.Pin = route.PinTo(release)
	if v.info.Resumes != "" {
		s.remember(req.Pool, v.info.Resumes, release)
	}
	return nil
}

// logTakenUp records what is known of the release of a stream that its caller resumes.
func (s *releases) logTakenUp(v *callerRequest, pool, release string, by releaseSource, doubt string) {
	n := s.n
	n.Lock()
	listed := n.Board().ListedReleases(pool)
	n.Unlock()
	known := release + " by " + string(by)
	if by == releaseUnknown {
		known = "unknown: " + doubt
	}
	n.events.Record(event.Event{
		Code: event.StreamTakenUp, Request: v.info.ID, Route: v.route.Name,
		Detail: fmt.Sprintf("%s, stream %s; slots listed: %s", known, v.info.Resumes, listed),
	})
}

// releaseOf returns the release that began the stream of a request, and why it is not known. A node that has
// just started waits for what it reads first.
func (s *releases) releaseOf(ctx context.Context, pool, id string) (release string, by releaseSource, doubt string) {
	known := s.whileStarting(ctx, func() (ok bool) {
		if release, ok = s.begun.get(id); ok {
			by = releaseByMemory
			return true
		}
		by = releaseBySplit
		release, doubt = s.bySplit(pool, id)
		return doubt == ""
	})
	switch {
	case known:
		return release, by, ""
	case id == "":
		return "", releaseUnknown, doubt
	}
	release, by = s.ask(ctx, id)
	return release, by, doubt
}

// whileStarting waits until ready reports true, but only at a node that has just started, and returns what
// it reported last.
func (s *releases) whileStarting(ctx context.Context, ready func() bool) bool {
	for waited := time.Duration(0); ; waited += startPoll {
		if ready() {
			return true
		}
		if waited >= startWait || s.n.now.Since(s.n.startedAt) > startTime || !pause(ctx, startPoll) {
			return false
		}
	}
}

// Times of a node that has just started. Within startTime after its start, a stream waits up to startWait
// for the list and the row.
const (
	startTime = 3 * time.Second
	startWait = 400 * time.Millisecond
	startPoll = 20 * time.Millisecond
)

// bySplit returns the release of a stream by the list and the splits. Doubt is not empty if it may have
// begun at another one, and gives the reason.
func (s *releases) bySplit(pool, id string) (release, doubt string) {
	n := s.n
	n.Lock()
	several := n.Board().HasSeveralReleases(pool)
	candidates, known := n.Board().StreamReleases(n.now(), pool, id, s.streamLife())
	n.Unlock()
	switch {
	case !s.started():
		return "", "this node has just started"
	case s.late(pool, route.SplitLead):
		return "", "neither the store nor most of the other nodes answered this node recently"
	case !known:
		return "", "the splits of the pool do not reach back far enough"
	case len(candidates) != 1:
		return "", "its slot moved between " + strings.Join(candidates, ", ")
	case several && id == "":
		return "", "the request does not name it"
	case several && !n.othersPinReleases():
		return "", "nodes of an earlier release of this program are running"
	}
	return candidates[0], ""
}

// started reports whether this node has read the row since it started, or has the splits of a node that did and
// those that most other nodes have.
func (s *releases) started() bool {
	s.mu.Lock()
	read, fromOthers := !s.readAt.IsZero(), s.fromOthers
	s.mu.Unlock()
	return read || fromOthers && s.contact() != contactFew
}

// known reports whether this node has the splits as they were in the row since it started. What a node that has
// just started does not know is no evidence that there is nothing to know.
func (s *releases) known() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.readAt.IsZero() || s.fromOthers
}

// othersKnow reports whether another node that this one received from knows the splits.
func (s *releases) othersKnow() bool {
	n := s.n
	if n.relays.knowReleases() {
		return true
	}
	return slices.ContainsFunc(n.gossip.Live(), func(e peer.Entry) bool { return e.Payload.KnowsReleases })
}

// setKnown records that the board has the splits of a node that knows them.
func (s *releases) setKnown(known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fromOthers = s.fromOthers || known
}

// othersPinReleases reports whether all other nodes that are known begin streams by the splits.
func (n *Node) othersPinReleases() bool {
	for _, e := range n.gossip.Live() {
		if !e.Payload.PinsReleases {
			return false
		}
	}
	return true
}

// ask queries other nodes and the record for the release that began a stream. It is unknown if answers differ.
func (s *releases) ask(ctx context.Context, id string) (release string, by releaseSource) {
	release, by, differ := s.askAll(ctx, s.rememberers(), id)
	if by != releaseUnknown || differ {
		return release, by
	}
	if s.n.relays.followsRelay() {
		return s.askRecord(ctx, id)
	}
	if release, ok := s.record.release(ctx, id); ok {
		return release, releaseByRecord
	}
	return "", releaseUnknown
}

// rememberers returns the other nodes that remember streams for others: all of a small fleet, or the relays.
func (s *releases) rememberers() (out []netip.AddrPort) {
	n := s.n
	if _, large := n.relays.size(); large {
		for _, m := range n.relays.known() {
			if m.ID != n.settings().Name {
				out = append(out, m.Addr)
			}
		}
		return out
	}
	for _, e := range n.gossip.Live() {
		out = append(out, e.Addr)
	}
	return out
}

// askAll queries nodes for what they remember.
func (s *releases) askAll(ctx context.Context, addrs []netip.AddrPort, id string) (release string, by releaseSource, differ bool) {
	ctx, cancel := context.WithTimeout(ctx, streamQueryTime)
	defer cancel()
	answers := make(chan peer.StreamAnswer, len(addrs))
	for _, addr := range addrs {
		go func() {
			// A node that does not answer knows nothing.
			a, _ := s.n.peers.Stream(ctx, addr, peer.StreamQuery{ID: id})
			answers <- a
		}()
	}
	by = releaseUnknown
	for range addrs {
		switch a := <-answers; {
		case !a.Known:
		case by == releaseByPeer && a.Release != release:
			return "", releaseUnknown, true
		default:
			release, by = a.Release, releaseByPeer
		}
	}
	return release, by, false
}

// askRecord has the relay that this node follows look into the record, which would be too much to read for each
// node of a large fleet.
func (s *releases) askRecord(ctx context.Context, id string) (release string, by releaseSource) {
	relay, ok := s.n.relays.followedRelay()
	if !ok {
		return "", releaseUnknown
	}
	ctx, cancel := context.WithTimeout(ctx, recordReadTime)
	defer cancel()
	a, err := s.n.peers.Stream(ctx, relay.Addr, peer.StreamQuery{ID: id, Recorded: true})
	if err != nil || !a.Known {
		return "", releaseUnknown
	}
	return a.Release, releaseByRecord
}

// Stream implements [peer.StreamHandler].
func (n *Node) Stream(q peer.StreamQuery) peer.StreamAnswer {
	s := n.releases
	release, ok := s.begun.get(q.ID)
	if !ok {
		release, ok = s.record.remembered(q.ID)
	}
	if !ok && q.Recorded {
		release, ok = s.record.release(context.Background(), q.ID)
	}
	return peer.StreamAnswer{Known: ok, Release: release}
}

var _ peer.StreamHandler = (*Node)(nil)
