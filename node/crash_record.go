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

// The crashes behind held requests are recorded in a row beside the lease. A process that starts
// and gets no answer from a relay reads it together with the lease in one call. The node that saw
// the last crash writes the row when a request becomes held. Without it, a fleet whose nodes all
// restart would lose three more targets to the same request. Requests that are only suspected are
// not recorded.

// heldRequestsRow is the sort key of the record, in the lease's partition of the table.
const heldRequestsRow = "requests-held"

// maxHeldRecorded limits the recorded requests: some 6 KB with four crashes each, 25 KB with the
// maximum number of crashes.
const maxHeldRecorded = 16

// recordedCrash is the stored form of one crash of a target under a request.
type recordedCrash struct {
	Print       route.Fingerprint `json:"fingerprint"`
	Target      netip.AddrPort    `json:"target"`
	Incarnation string            `json:"incarnation"`
	// AtMS is the time of the crash on the store's clock, in milliseconds.
	AtMS  int64 `json:"atMs"`
	Begun bool  `json:"begun,omitempty"`
	// Part is set if the fingerprint is that of a part of prompts.
	Part bool `json:"part,omitempty"`
}

// encodeHeld encodes crash updates with times on the store's clock.
func encodeHeld(c StoreClock, now time.Time, updates []route.CrashUpdate) json.RawMessage {
	out := make([]recordedCrash, 0, len(updates))
	for _, w := range updates {
		_, at := c.ToStore(now.Add(-w.Age))
		out = append(out, recordedCrash{
			Print: w.Print, Target: w.Target.Target, Incarnation: string(w.Target.Incarnation), AtMS: at.Milliseconds(), Begun: w.Begun, Part: w.Part,
		})
	}
	data, err := json.Marshal(out)
	if err != nil {
		panic("node: encoding the record of held requests: " + err.Error())
	}
	return data
}

// decodeHeld decodes the record into crash updates with ages relative to now.
func decodeHeld(c StoreClock, now time.Time, data []byte) ([]route.CrashUpdate, error) {
	var record []recordedCrash
	if err := json.Unmarshal(data, &record); err != nil {
		return nil, errs.Errorf("the record of held requests: %w", err)
	}
	updates := make([]route.CrashUpdate, 0, len(record))
	for _, r := range record {
		if !r.Print.Known() || !r.Target.IsValid() {
			return nil, errs.Errorf("the record of held requests: entry without fingerprint or target")
		}
		_, at := c.ToHere(time.Duration(r.AtMS) * time.Millisecond)
		updates = append(updates, route.CrashUpdate{
			CrashKey: route.CrashKey{Print: r.Print, Target: route.TargetKey{Target: r.Target, Incarnation: route.Incarnation(r.Incarnation)}},
			Age:      max(0, now.Sub(at)), Begun: r.Begun, Part: r.Part,
		})
	}
	return updates, nil
}

// applyHeldRecord applies the recorded crashes. An invalid row is skipped, and the next write
// replaces it.
func (n *Node) applyHeldRecord(row fleet.Row) {
	c := n.store.Clock()
	if !c.Known() {
		return
	}
	updates, err := decodeHeld(c, n.now(), row.Data)
	if err != nil {
		n.log.Warn("invalid record of held requests", "error", err)
		return
	}
	n.receiveCrashes(updates)
}

// heldReadInterval is the time between two reads of the record by an isolated node and between two
// attempts to write it. A held request must be known to all nodes within the contact time, which is
// at least 3 s.
const heldReadInterval = time.Second

// isolated reports whether the node receives from at most half of the nodes that were there
// recently. Such a node may still reach the store and targets, and its callers keep sending
// requests that the other nodes hold.
func (n *Node) isolated() bool {
	nodes, _ := n.relays.size()
	n.Lock()
	defer n.Unlock()
	return 2*nodes <= n.Board().RecentRouters()
}

// readHeld reads the record and applies it.
func (n *Node) readHeld(ctx context.Context) {
	part, _ := n.weights.lease.Key()
	row, ok, err := n.store.Get(ctx, part, heldRequestsRow)
	if err != nil {
		n.log.Debug("reading the record of held requests failed", "error", err)
		return
	}
	if ok {
		n.applyHeldRecord(row)
	}
}

// recordLoop records held requests after each crash that this node sees, and reads the record while
// the node is isolated.
func (n *Node) recordLoop(ctx context.Context) {
	var (
		recorded []route.CrashUpdate
		pending  bool
		era      int64
	)
	ticker := time.NewTicker(heldReadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if n.isolated() {
				n.readHeld(ctx)
			}
			if !pending {
				continue
			}
		case <-n.recordWake:
		}
		if now := n.era.Load(); now != era {
			// An older copy of the store may lack the record.
			recorded, era = nil, now
		}
		n.Lock()
		updates, own := n.Board().HeldCrashes(n.now(), maxHeldRecorded)
		n.Unlock()
		if pending = own && !containsAll(recorded, updates); !pending {
			continue
		}
		if err := n.writeHeld(ctx, updates); err != nil {
			n.log.Debug("recording held requests failed", "error", err)
			continue
		}
		recorded, pending = updates, false
	}
}

// writeHeld merges crash updates into the record, unless the record has them all. It fails if
// another node wrote concurrently or the store is unavailable; the caller retries.
func (n *Node) writeHeld(ctx context.Context, updates []route.CrashUpdate) error {
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
		if recorded, err := decodeHeld(clock, n.now(), row.Data); err == nil && containsAll(recorded, updates) {
			return nil
		}
		n.Lock()
		updates, _ = n.Board().HeldCrashes(n.now(), maxHeldRecorded)
		n.Unlock()
	}
	_, err = n.store.Commit(ctx, rand.Text(), fleet.Write{Part: part, Sort: heldRequestsRow, Data: encodeHeld(clock, n.now(), updates), If: row.Rev})
	return err
}

// containsAll reports whether known contains every crash in updates.
func containsAll(known, updates []route.CrashUpdate) bool {
	keys := make(map[route.CrashKey]bool, len(known))
	for _, w := range known {
		keys[w.CrashKey] = true
	}
	for _, w := range updates {
		if !keys[w.CrashKey] {
			return false
		}
	}
	return true
}
