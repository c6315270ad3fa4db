package node

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/zeebo/errs/v2"

	"github.com/pathhead/pathhead/fleet"
	"github.com/pathhead/pathhead/route"
)

// releasesRow is the sort key of the row with the splits, in the lease's partition of the table, which
// each node reads as it starts.
const releasesRow = "releases"

// recordedReleases is the stored form of the splits of a pool.
type recordedReleases struct {
	Pool   string          `json:"pool"`
	Number int64           `json:"number"`
	Splits []recordedSplit `json:"splits"`
}

// recordedSplit is the stored form of a [route.ReleaseSplit].
type recordedSplit struct {
	// FromMS is when the split takes effect on the store's clock, in milliseconds; zero stands for always.
	FromMS int64    `json:"fromMs"`
	Names  []string `json:"names"`
	// Slots has a letter of slotLetters for each slot, whose position is that of the release in Names.
	Slots string `json:"slots"`
}

// slotLetters are the letters of slots, and unknownSlot that of a slot of unknown release.
const (
	slotLetters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/"
	unknownSlot = '-'
)

func recordSplit(c StoreClock, s route.ReleaseSplit) recordedSplit {
	out := recordedSplit{Names: s.Names}
	if !s.From.IsZero() {
		_, from := c.ToStore(s.From)
		out.FromMS = max(1, from.Milliseconds())
	}
	var slots strings.Builder
	for _, i := range s.Slots {
		if i == route.UnknownRelease {
			slots.WriteByte(unknownSlot)
			continue
		}
		slots.WriteByte(slotLetters[i])
	}
	out.Slots = slots.String()
	return out
}

func (r recordedSplit) split(c StoreClock) (route.ReleaseSplit, error) {
	out := route.ReleaseSplit{Names: r.Names}
	if len(r.Slots) != route.ReleaseSlots {
		return out, errs.Errorf("%d slots", len(r.Slots))
	}
	if r.FromMS > 0 {
		out.From, _ = c.ToHere(time.Duration(r.FromMS) * time.Millisecond)
	}
	for slot, letter := range r.Slots {
		if letter == unknownSlot {
			out.Slots[slot] = route.UnknownRelease
			continue
		}
		i := strings.IndexRune(slotLetters, letter)
		if i < 0 || i >= len(r.Names) {
			return out, errs.Errorf("slot %q names no release", letter)
		}
		out.Slots[slot] = int8(i)
	}
	return out, nil
}

// decodeReleases decodes the row into histories by pool.
func decodeReleases(c StoreClock, data []byte) (map[string]route.ReleaseHistory, error) {
	var record []recordedReleases
	if err := json.Unmarshal(data, &record); err != nil {
		return nil, errs.Errorf("the record of releases: %w", err)
	}
	out := make(map[string]route.ReleaseHistory, len(record))
	for _, r := range record {
		h := route.ReleaseHistory{Number: r.Number}
		for _, s := range r.Splits {
			split, err := s.split(c)
			if err != nil {
				return nil, errs.Errorf("the record of releases, pool %s: %w", r.Pool, err)
			}
			h.Splits = append(h.Splits, split)
		}
		out[r.Pool] = h
	}
	return out, nil
}

func encodeReleases(c StoreClock, histories map[string]route.ReleaseHistory) json.RawMessage {
	record := []recordedReleases{}
	for _, pool := range slices.Sorted(maps.Keys(histories)) {
		h := histories[pool]
		r := recordedReleases{Pool: pool, Number: h.Number}
		for _, s := range h.Splits {
			r.Splits = append(r.Splits, recordSplit(c, s))
		}
		record = append(record, r)
	}
	data, err := json.Marshal(record)
	if err != nil {
		panic("node: encoding the record of releases: " + err.Error())
	}
	return data
}

// applyRead applies the rows of the lease's partition, as of a call that began at the given time.
func (s *releases) applyRead(begun time.Time, rows []fleet.Row) {
	if row, ok := rowOf(rows, releasesRow); ok && s.apply(row) == nil {
		return
	}
	s.setRead(begun)
}

// setRead records that the row is known as of a time.
func (s *releases) setRead(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at.After(s.readAt) {
		s.readAt = at
	}
}

// apply takes over the splits in the row that are newer than the known ones, and returns all of them, or nil
// if the row cannot be read. The next write replaces an invalid one.
func (s *releases) apply(row fleet.Row) map[string]route.ReleaseHistory {
	clock := s.n.store.Clock()
	if !clock.Known() {
		return nil
	}
	histories, err := decodeReleases(clock, row.Data)
	if err != nil {
		s.n.log.Warn("invalid record of releases", "error", err)
		return nil
	}
	s.adopt(histories)
	return histories
}

// adopt takes over the splits that are newer than the known ones.
func (s *releases) adopt(histories map[string]route.ReleaseHistory) {
	s.n.Do(func(b *route.Board, now time.Time) []route.Action {
		for pool, h := range histories {
			b.AdoptReleases(now, pool, h)
		}
		return nil
	})
}

// read reads the row and applies it. It returns the row, which has no data if there is none, and the splits
// in it.
func (s *releases) read(ctx context.Context) (row fleet.Row, histories map[string]route.ReleaseHistory, err error) {
	part, _ := s.n.weights.lease.Key()
	begun := s.n.now()
	row, ok, err := s.n.store.Get(ctx, part, releasesRow)
	if err != nil {
		return fleet.Row{}, nil, err
	}
	if ok {
		histories = s.apply(row)
	}
	if !ok || histories != nil {
		s.setRead(begun)
	}
	return row, histories, nil
}

// write records the splits that have to change and those that have none yet, and takes them over. It fails if another node wrote at the
// same time or the store is unavailable; the next round tries again.
func (s *releases) write(ctx context.Context) error {
	n := s.n
	row, histories, err := s.read(ctx)
	if err != nil {
		return err
	}
	clock := n.store.Clock()
	if !clock.Known() {
		return errs.Errorf("the store's clock is not known")
	}
	if histories == nil {
		histories = make(map[string]route.ReleaseHistory)
	}
	changed := make(map[string]route.ReleaseHistory)
	n.Lock()
	b := n.Board()
	for _, pool := range b.SeveralReleases() {
		if next, ok := b.NextReleases(n.now(), pool, s.streamLife()); ok {
			histories[pool], changed[pool] = next, next
		}
	}
	for pool, first := range b.FirstReleases() {
		histories[pool], changed[pool] = first, first
	}
	for pool := range histories {
		if !b.HasPool(pool) {
			delete(histories, pool)
		}
	}
	n.Unlock()
	if len(changed) == 0 {
		return nil
	}
	part, _ := n.weights.lease.Key()
	begun := n.now()
	_, err = n.store.Commit(ctx, rand.Text(), fleet.Write{Part: part, Sort: releasesRow, Data: encodeReleases(clock, histories), If: row.Rev})
	if err != nil {
		return err
	}
	s.adopt(changed)
	s.setRead(begun)
	return nil
}
