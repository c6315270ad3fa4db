package node

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"net/netip"
	"time"

	"github.com/zeebo/errs/v2"

	"github.com/pathhead/pathhead/fleet"
	"github.com/pathhead/pathhead/route"
)

// What the fleet holds back is recorded beside the lease, where each process that starts
// and hears no relay reads it with the lease, in one call. It is written when something newly is held
// back, by the node that saw the last target end. So a fleet all of whose nodes start anew does not
// lose three more targets to the same request; what is only suspected is not recorded.

// heldRequestsRow is the key of the record, in the lease's part of the table.
const heldRequestsRow = "requests-held"

// maxHeldRecorded bounds the requests recorded: some 6 KB with four ends each, 25 KB with all.
const maxHeldRecorded = 16

// recordedCrash is an end of a target under a request, as it is recorded.
type recordedCrash struct {
	Print       route.Fingerprint `json:"fingerprint"`
	Target      netip.AddrPort    `json:"target"`
	Incarnation string            `json:"incarnation"`
	// AtMS is when it ended by the store's clock, in milliseconds.
	AtMS  int64 `json:"atMs"`
	Begun bool  `json:"begun,omitempty"`
}

// encodeHeld renders words on ends by the store's clock.
func encodeHeld(c StoreClock, now time.Time, words []route.CrashUpdate) json.RawMessage {
	out := make([]recordedCrash, 0, len(words))
	for _, w := range words {
		_, at := c.ToStore(now.Add(-w.Age))
		out = append(out, recordedCrash{
			Print: w.Print, Target: w.Target.Target, Incarnation: string(w.Target.Incarnation), AtMS: at.Milliseconds(), Begun: w.Begun,
		})
	}
	data, err := json.Marshal(out)
	if err != nil {
		panic("node: a record of requests held back does not encode")
	}
	return data
}

// decodeHeld returns what was recorded, as words of now.
func decodeHeld(c StoreClock, now time.Time, data []byte) ([]route.CrashUpdate, error) {
	var record []recordedCrash
	if err := json.Unmarshal(data, &record); err != nil {
		return nil, errs.Errorf("the record of requests held back: %w", err)
	}
	out := make([]route.CrashUpdate, 0, len(record))
	for _, r := range record {
		if !r.Print.Known() || !r.Target.IsValid() {
			return nil, errs.Errorf("the record of requests held back: an entry without request or target")
		}
		_, at := c.ToHere(time.Duration(r.AtMS) * time.Millisecond)
		out = append(out, route.CrashUpdate{
			CrashKey: route.CrashKey{Print: r.Print, Target: route.TargetKey{Target: r.Target, Incarnation: route.Incarnation(r.Incarnation)}},
			Age:      max(0, now.Sub(at)), Begun: r.Begun,
		})
	}
	return out, nil
}

// applyHeldRecord takes what the fleet recorded. A row that is none is passed over, and
// the next record replaces it.
func (n *Node) applyHeldRecord(row fleet.Row) {
	c := n.store.Clock()
	if !c.Known() {
		return
	}
	words, err := decodeHeld(c, n.now(), row.Data)
	if err != nil {
		n.log.Warn("what the fleet recorded was not read", "error", err)
		return
	}
	n.receiveCrashes(words)
}

// heldReadInterval is the time between two readings of the record by a node that others do not reach, and
// between two tries to write it: what is held back must be known within the time of contact, of 3 s and more.
const heldReadInterval = time.Second

// isolated reports whether the node hears at most half of the nodes that there were lately. It may
// still reach the store and targets, and its callers go on sending what the others hold back.
func (n *Node) isolated() bool {
	nodes, _ := n.relays.size()
	n.Lock()
	defer n.Unlock()
	return 2*nodes <= n.Board().RecentRouters()
}

// readHeld reads the record.
func (n *Node) readHeld(ctx context.Context) {
	part, _ := n.weights.lease.Key()
	row, ok, err := n.store.Get(ctx, part, heldRequestsRow)
	if err != nil {
		n.log.Debug("the record of what is held back was not read", "error", err)
		return
	}
	if ok {
		n.applyHeldRecord(row)
	}
}

// recordLoop records what is held back, after each target that this node saw end, and reads
// the record while the others do not reach this node.
func (n *Node) recordLoop(ctx context.Context) {
	var (
		recorded []route.CrashUpdate
		owed     bool
		era      int64
	)
	look := time.NewTicker(heldReadInterval)
	defer look.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-look.C:
			if n.isolated() {
				n.readHeld(ctx)
			}
			if !owed {
				continue
			}
		case <-n.recordWake:
		}
		if now := n.era.Load(); now != era {
			// What was recorded in another life of the store may be gone.
			recorded, era = nil, now
		}
		n.Lock()
		words, own := n.Board().HeldCrashes(n.now(), maxHeldRecorded)
		n.Unlock()
		if owed = own && !containsAll(recorded, words); !owed {
			continue
		}
		if err := n.writeHeld(ctx, words); err != nil {
			n.log.Debug("what is held back was not recorded", "error", err)
			continue
		}
		recorded, owed = words, false
	}
}

// writeHeld writes the record, unless it has all of the words, joined with what others recorded. It
// fails where another wrote in between or the store is away, and is tried again then.
func (n *Node) writeHeld(ctx context.Context, words []route.CrashUpdate) error {
	part, _ := n.weights.lease.Key()
	row, ok, err := n.store.Get(ctx, part, heldRequestsRow)
	if err != nil {
		return err
	}
	clock := n.store.Clock()
	if !clock.Known() {
		return errs.Errorf("the store's clock is not known")
	}
	if ok {
		n.applyHeldRecord(row)
		if recorded, err := decodeHeld(clock, n.now(), row.Data); err == nil && containsAll(recorded, words) {
			return nil
		}
		n.Lock()
		words, _ = n.Board().HeldCrashes(n.now(), maxHeldRecorded)
		n.Unlock()
	}
	_, err = n.store.Commit(ctx, rand.Text(), fleet.Write{Part: part, Sort: heldRequestsRow, Data: encodeHeld(clock, n.now(), words), If: row.Rev})
	return err
}

// containsAll reports whether all words of a list are among others.
func containsAll(known, words []route.CrashUpdate) bool {
	keys := make(map[route.CrashKey]bool, len(known))
	for _, w := range known {
		keys[w.CrashKey] = true
	}
	for _, w := range words {
		if !keys[w.CrashKey] {
			return false
		}
	}
	return true
}
