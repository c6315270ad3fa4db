package node

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/zeebo/errs/v2"
	"github.com/zeebo/xxh3"

	"github.com/pathhead/pathhead/fleet"
	"github.com/pathhead/pathhead/peer"
)

// The release of a stream has to be known after the process that began it has ended. While the slots of a pool move
// between releases, the split alone does not tell it, so the streams that begin meanwhile are recorded in the
// store. One node, the recorder, writes them for all, since calls to the store are dear; the nodes of a large fleet
// reach it through their relays. Another one records while the chosen one does not answer or cannot reach the store, and
// what cannot be passed on in time a node writes itself. A row is written once and removed when no stream in it can be
// under way any more. All rows are facts, so that one that is late or missing makes a stream unknown and never places it
// wrongly.

// partStreams is the table part of the recorded streams.
const partStreams = "streams"

// Intervals, timeouts and limits of the record.
const (
	// recordInterval is the time between two notices and between two writes. Callers take up streams of which
	// they have an event, so that most of these are recorded if it is shorter than targets take for the first.
	recordInterval = 100 * time.Millisecond
	// noticesPerSecond bounds the notices that a relay receives from its followers.
	noticesPerSecond = 100
	// recordNoticeTime bounds a notice, and unreportedTime is the age from which a node records what it could not
	// pass on.
	recordNoticeTime = 500 * time.Millisecond
	unreportedTime   = time.Second
	// recordReadTime bounds a read of the record, for which a caller waits. recordRetry is the time after a failed
	// read in which callers do not wait for another, and after a failed write until the next one.
	recordReadTime = 800 * time.Millisecond
	recordRetry    = time.Second
	// unableTime is how long a node is not chosen as recorder that did not answer or could not write.
	unableTime = 15 * time.Second
	// recordDelay is how long after its time a row may appear in the store.
	recordDelay = 10 * time.Second
	// recordPage is the number of rows in a read.
	recordPage = 500
	// streamsPerRow and rowsPerWrite keep a row under 32 KB and a write under 1 MB on the wire.
	streamsPerRow = 2048
	rowsPerWrite  = 24
	// removeInterval is the time between two removals of old rows, unless more are left. rowsPerRemoval rows and
	// their conditions are as many entries as a call to the store may have.
	removeInterval = 5 * time.Second
	rowsPerRemoval = 50
	// maxStreamsRecorded bounds the streams that wait to be recorded, and those that are remembered from notices
	// and reads, in each of two generations.
	maxStreamsRecorded = 1 << 15
)

// begunStream is a stream that may have to be recorded.
type begunStream struct {
	key           streamKey
	pool, release string
	at            time.Time
	// recorded is set once this node wrote it to the store, passedTo is the start of another one that has it.
	recorded bool
	passedTo nodeStart
}

// nodeStart identifies one start of a node.
type nodeStart struct {
	id    string
	epoch int64
}

// streamRecord is a node's part in the record of streams.
type streamRecord struct {
	n *Node
	// reported and read are the streams that other nodes passed on to this one, and those in the store.
	reported, read *streamMemory

	mu sync.Mutex
	// begun are streams of this node and those passed on to it, the oldest first.
	begun []*begunStream
	// readAt is when the last complete read began, and readTo the time on the store's clock up to which it
	// read, failedAt when a read failed. reading is closed at the end of the read that is under way.
	readAt, failedAt time.Time
	readTo           time.Duration
	reading          chan struct{}
	// unable are the nodes that could not record streams lately, by name, and when they could not.
	unable map[string]time.Time
	// removing is set while there may be rows to remove, removedAt is when rows were removed last.
	removing  bool
	removedAt time.Time
}

func newStreamRecord(n *Node) *streamRecord {
	r := &streamRecord{n: n, reported: newStreamMemory(), read: newStreamMemory(), unable: make(map[string]time.Time)}
	r.reported.limit, r.read.limit = maxStreamsRecorded, maxStreamsRecorded
	return r
}

// add adds a stream that this node began or resumed.
func (r *streamRecord) add(now time.Time, pool, id, release string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.append(&begunStream{key: streamKeyOf(id), pool: pool, release: release, at: now})
}

// append adds a stream. The caller holds the lock.
func (r *streamRecord) append(b *begunStream) {
	if len(r.begun) >= maxStreamsRecorded {
		r.begun = slices.Delete(r.begun, 0, maxStreamsRecorded/8)
	}
	r.begun = append(r.begun, b)
}

// Begun implements [peer.BegunHandler].
func (n *Node) Begun(w peer.BegunNotice) (unable bool) {
	for _, s := range w.Streams {
		n.releases.record.takeReported(n.now(), s)
	}
	return n.releases.record.isUnable(n.settings().Name)
}

// takeReported adds streams that another node passed on. What this node knows already is left out, so that two
// nodes which take each other for the recorder do not pass it back and forth.
func (r *streamRecord) takeReported(now time.Time, s peer.BegunStreams) {
	for _, k := range s.Keys {
		key := streamKey(k)
		if r.n.releases.begun.has(key) || r.reported.has(key) {
			continue
		}
		r.reported.addKeys(now, s.Release, key)
		r.mu.Lock()
		r.append(&begunStream{key: key, pool: s.Pool, release: s.Release, at: now})
		r.mu.Unlock()
	}
}

// scope returns the pools whose streams are recorded, and how long a stream may last.
func (r *streamRecord) scope() (pools []string, life time.Duration) {
	r.n.Lock()
	defer r.n.Unlock()
	return r.n.Board().SeveralReleases(), r.n.releases.streamLife()
}

// pending returns the streams of some pools that are not over and satisfy a condition. It drops those that
// are over.
func (r *streamRecord) pending(pools []string, life time.Duration, due func(*begunStream) bool) []*begunStream {
	now := r.n.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	over := slices.IndexFunc(r.begun, func(b *begunStream) bool { return now.Sub(b.at) < life })
	if over < 0 {
		over = len(r.begun)
	}
	r.begun = slices.Delete(r.begun, 0, over)
	var out []*begunStream
	for _, b := range r.begun {
		if due(b) && slices.Contains(pools, b.pool) {
			out = append(out, b)
		}
	}
	return out
}

// next returns the node to which this one passes streams on; self is set if it records them.
func (r *streamRecord) next() (to fleet.Member, self bool) {
	if r.n.relays.followsRelay() {
		if relay, ok := r.n.relays.followedRelay(); ok {
			return relay, false
		}
	}
	members := r.n.dutyMembers()
	able := slices.DeleteFunc(slices.Clone(members), func(m fleet.Member) bool { return r.isUnable(m.ID) })
	if len(able) == 0 {
		able = members
	}
	return r.n.dutyOwner(able, xxh3.HashString(partStreams))
}

// setUnable records whether a node could not record streams.
func (r *streamRecord) setUnable(id string, unable bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !unable {
		delete(r.unable, id)
		return
	}
	r.unable[id] = r.n.now()
}

// isUnable reports whether a node could not record streams lately.
func (r *streamRecord) isUnable(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, ok := r.unable[id]
	if ok && r.n.now().Sub(at) >= unableTime {
		delete(r.unable, id)
		return false
	}
	return ok
}

// pass passes streams on to another node.
func (r *streamRecord) pass(ctx context.Context, to fleet.Member, pools []string, life time.Duration) error {
	start := nodeStart{to.ID, to.Epoch}
	due := r.pending(pools, life, func(b *begunStream) bool { return b.passedTo != start })
	if len(due) == 0 {
		return nil
	}
	timed, cancel := context.WithTimeout(ctx, recordNoticeTime)
	defer cancel()
	unable, err := r.n.peers.Begun(timed, to.Addr, peer.BegunNotice{Streams: beginningsOf(due)})
	if ctx.Err() == nil {
		r.setUnable(to.ID, unable || err != nil)
	}
	switch {
	case err != nil:
		return err
	case unable && !r.n.relays.followsRelay():
		return errs.Errorf("it cannot write to the store")
	}
	// A relay that cannot write passes on to the next recorder what its followers passed to it.
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, b := range due {
		b.passedTo = start
	}
	return nil
}

// beginningsOf returns streams as they are passed on.
func beginningsOf(streams []*begunStream) []peer.BegunStreams {
	var out []peer.BegunStreams
	for _, b := range streams {
		i := slices.IndexFunc(out, func(s peer.BegunStreams) bool { return s.Pool == b.pool && s.Release == b.release })
		if i < 0 {
			i = len(out)
			out = append(out, peer.BegunStreams{Pool: b.pool, Release: b.release})
		}
		out[i].Keys = append(out[i].Keys, uint64(b.key))
	}
	return out
}

// loop keeps the record until ctx ends. It does nothing while all pools have one release and no row is left.
func (r *streamRecord) loop(ctx context.Context) {
	every := idleInterval
	for pause(ctx, r.n.jitter(every)) {
		pools, life := r.scope()
		if every = r.interval(); len(pools) == 0 {
			every = idleInterval
		}
		to, self := r.next()
		if !self {
			if err := r.pass(ctx, to, pools, life); err != nil && ctx.Err() == nil {
				r.n.log.Debug("passing on streams failed", "to", to.ID, "error", err)
			}
		}
		if err := r.write(ctx, pools, life, self); err != nil && ctx.Err() == nil {
			r.n.log.Debug("recording streams failed", "error", err)
			if _, self = r.next(); self {
				every = recordRetry
			}
		}
		if err := r.remove(ctx, len(pools) > 0, life, self); err != nil && ctx.Err() == nil {
			r.n.log.Debug("removing recorded streams failed", "error", err)
		}
	}
}

// interval returns the time between two notices or writes of this node.
func (r *streamRecord) interval() time.Duration {
	if !r.n.relays.followsRelay() {
		return recordInterval
	}
	nodes, _ := r.n.relays.size()
	return followerInterval(nodes, len(r.n.relays.known()))
}

// followerInterval returns the time between two notices of a follower in a fleet of some nodes.
func followerInterval(nodes, relays int) time.Duration {
	followers := float64(nodes-relays) / float64(max(1, relays))
	return max(recordInterval, fraction(time.Second, followers/noticesPerSecond))
}

// write records the streams that are not recorded yet: all of them at the recorder, elsewhere those that could not
// be passed on, unless this node could not write lately. What fails is written again in the next round.
func (r *streamRecord) write(ctx context.Context, pools []string, life time.Duration, recorder bool) error {
	now, self := r.n.now(), r.n.settings().Name
	if !recorder && r.isUnable(self) {
		return nil
	}
	due := r.pending(pools, life, func(b *begunStream) bool {
		return !b.recorded && (recorder || b.passedTo == nodeStart{} && now.Sub(b.at) >= unreportedTime)
	})
	due = due[:min(len(due), streamsPerRow*rowsPerWrite)]
	if len(due) == 0 {
		return nil
	}
	clock := r.n.store.Clock()
	if !clock.Known() {
		return errs.Errorf("the store's clock is not known")
	}
	_, at := clock.ToStore(now)
	var writes []fleet.Write
	for streams := range slices.Chunk(due, streamsPerRow) {
		sort := fmt.Sprintf("%s/%s/%d", recordTime(at), self, len(writes))
		writes = append(writes, fleet.Write{Part: partStreams, Sort: sort, Data: encodeStreams(streams)})
	}
	_, err := r.n.store.Commit(ctx, rand.Text(), writes...)
	if ctx.Err() == nil {
		r.setUnable(self, err != nil)
	}
	if err != nil {
		return err
	}
	r.n.counters.recordedStreams(len(due))
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, b := range due {
		b.recorded = true
	}
	return nil
}

// recordTime returns the beginning of the keys of rows that are written at a time on the store's clock. Keys
// are ordered by time.
func recordTime(at time.Duration) string { return fmt.Sprintf("%013d", max(0, at.Milliseconds())) }

// timeOfRow returns the time of a row by its key.
func timeOfRow(row fleet.Row) (time.Duration, bool) {
	text, _, _ := strings.Cut(row.Sort, "/")
	ms, err := strconv.ParseInt(text, 10, 64)
	return time.Duration(ms) * time.Millisecond, err == nil
}

// recordedStreams is the stored form of streams of one release.
type recordedStreams struct {
	Release string `json:"release"`
	// Keys has the keys one after the other, big-endian.
	Keys []byte `json:"keys"`
}

// streamKeyBytes is the size of a recorded [streamKey].
const streamKeyBytes = 8

func encodeStreams(streams []*begunStream) []byte {
	var record []recordedStreams
	for _, b := range streams {
		i := slices.IndexFunc(record, func(r recordedStreams) bool { return r.Release == b.release })
		if i < 0 {
			i = len(record)
			record = append(record, recordedStreams{Release: b.release})
		}
		record[i].Keys = binary.BigEndian.AppendUint64(record[i].Keys, uint64(b.key))
	}
	data, err := json.Marshal(record)
	if err != nil {
		panic("node: encoding the record of streams: " + err.Error())
	}
	return data
}

// decodeStreams decodes a row into the keys of streams by release.
func decodeStreams(data []byte) (map[string][]streamKey, error) {
	var record []recordedStreams
	if err := json.Unmarshal(data, &record); err != nil {
		return nil, errs.Errorf("the record of streams: %w", err)
	}
	out := make(map[string][]streamKey, len(record))
	for _, r := range record {
		if len(r.Keys)%streamKeyBytes != 0 {
			return nil, errs.Errorf("the record of streams: release %q with %d bytes of keys", r.Release, len(r.Keys))
		}
		for k := range slices.Chunk(r.Keys, streamKeyBytes) {
			out[r.Release] = append(out[r.Release], streamKey(binary.BigEndian.Uint64(k)))
		}
	}
	return out, nil
}

// release returns the release of a stream by what other nodes passed on and the store. It reads the store if what
// was read before lacks the stream.
func (r *streamRecord) release(ctx context.Context, id string) (release string, ok bool) {
	asked := r.n.now()
	ctx, cancel := context.WithTimeout(ctx, recordReadTime)
	defer cancel()
	for {
		if release, ok = r.remembered(id); ok || !r.awaitRead(ctx, asked) {
			return release, ok
		}
	}
}

// remembered returns the release of a stream by what was passed on or read before.
func (r *streamRecord) remembered(id string) (release string, ok bool) {
	if release, ok = r.reported.get(id); ok {
		return release, true
	}
	return r.read.get(id)
}

// awaitRead reads the record, or waits for a read that is under way. It reports false if there is nothing to
// wait for: a read that began at since or later is complete, or reads fail.
func (r *streamRecord) awaitRead(ctx context.Context, since time.Time) bool {
	r.mu.Lock()
	switch {
	case ctx.Err() != nil, !r.readAt.Before(since), r.n.now().Sub(r.failedAt) < recordRetry:
		r.mu.Unlock()
		return false
	case r.reading != nil:
		reading := r.reading
		r.mu.Unlock()
		select {
		case <-reading:
		case <-ctx.Done():
		}
		return true
	}
	reading := make(chan struct{})
	r.reading = reading
	r.mu.Unlock()
	// Others wait for it too, so it goes on if this caller leaves.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordReadTime)
	defer cancel()
	begun := r.n.now()
	to, err := r.readRows(ctx)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reading = nil
	close(reading)
	if err != nil {
		r.failedAt = r.n.now()
		r.n.log.Debug("reading the record of streams failed", "error", err)
		return true
	}
	r.readAt, r.readTo = begun, max(r.readTo, to)
	return true
}

// readRows reads the rows that may be new, and returns the time of the newest one.
func (r *streamRecord) readRows(ctx context.Context) (to time.Duration, err error) {
	_, life := r.scope()
	r.read.keep(life)
	r.mu.Lock()
	from := r.readTo - recordDelay
	r.mu.Unlock()
	if clock := r.n.store.Clock(); clock.Known() {
		oldest, _ := clock.ToStore(r.n.now().Add(-life - recordDelay))
		from = max(from, oldest)
	}
	for after := recordTime(from); ; {
		rows, err := r.n.store.Range(ctx, partStreams, after, recordPage)
		if err != nil || len(rows) == 0 {
			return to, err
		}
		for _, row := range rows {
			after = row.Sort
			if at, ok := timeOfRow(row); ok {
				to = max(to, at)
			}
			r.takeRow(row)
		}
	}
}

func (r *streamRecord) takeRow(row fleet.Row) {
	streams, err := decodeStreams(row.Data)
	if err != nil {
		r.n.log.Warn("invalid record of streams", "row", row.Sort, "error", err)
		return
	}
	for release, keys := range streams {
		r.read.addKeys(r.n.now(), release, keys...)
	}
}

// remove has the recorder remove the rows whose streams are over, also those of nodes that have gone. Rows that are
// left when all nodes stop are removed in the next change.
func (r *streamRecord) remove(ctx context.Context, several bool, life time.Duration, recorder bool) error {
	now := r.n.now()
	r.mu.Lock()
	r.removing = r.removing || several
	due := r.removing && now.Sub(r.removedAt) >= removeInterval
	r.mu.Unlock()
	clock := r.n.store.Clock()
	if !due || !recorder || !clock.Known() {
		return nil
	}
	rows, err := r.n.store.Range(ctx, partStreams, "", rowsPerRemoval)
	if err != nil {
		return err
	}
	oldest, _ := clock.ToStore(now.Add(-life - recordDelay))
	old := slices.DeleteFunc(slices.Clone(rows), func(row fleet.Row) bool {
		at, ok := timeOfRow(row)
		return ok && at >= oldest
	})
	r.mu.Lock()
	r.removedAt, r.removing = now, several || len(rows) > 0
	r.mu.Unlock()
	if len(old) == 0 {
		return nil
	}
	if err := r.n.store.Remove(ctx, old...); err != nil {
		return err
	}
	if len(old) == rowsPerRemoval {
		r.mu.Lock()
		r.removedAt = time.Time{}
		r.mu.Unlock()
	}
	return nil
}
