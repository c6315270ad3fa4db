package node

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/pathhead/pathhead/fleet"
	"github.com/pathhead/pathhead/peer"
)

// simSizes are the encoded sizes of messages by content.
type simSizes struct {
	mu       sync.Mutex
	bytes    map[string]int64
	count    map[string]int64
	largest  map[string]int64
	encoders map[string]*sizeEncoder
	// members counts the members named in answers to followers, in full or as changes.
	members atomic.Int64
}

func (s *simSizes) add(what string, v any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.bytes == nil {
		s.bytes, s.count, s.largest = make(map[string]int64), make(map[string]int64), make(map[string]int64)
		s.encoders = make(map[string]*sizeEncoder)
	}
	enc := s.encoders[what]
	if enc == nil {
		enc = newSizeEncoder(v)
		s.encoders[what] = enc
	}
	n := enc.size(v)
	s.bytes[what] += n
	s.count[what]++
	s.largest[what] = max(s.largest[what], n)
}

// of returns the maximum size of one message of a kind and the sum of all.
func (s *simSizes) of(what string) (largest, sum int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.largest[what], s.bytes[what]
}

// String formats the sizes by kind.
func (s *simSizes) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for _, k := range slices.Sorted(maps.Keys(s.bytes)) {
		out = append(out, fmt.Sprintf("%s %d x %d B (most %d) = %.2f MB", k, s.count[k], s.bytes[k]/s.count[k], s.largest[k], float64(s.bytes[k])/1e6))
	}
	return strings.Join(out, "\n")
}

// simHandler records the sizes of messages that a node receives and answers.
type simHandler struct {
	*Node
	sizes *simSizes
	// noConfigs disables passing configurations on.
	noConfigs bool
}

// Config implements [peer.Handler].
func (h *simHandler) Config() (fleet.Document, bool) {
	if h.noConfigs {
		return fleet.Document{}, false
	}
	return h.Node.Config()
}

// Relay implements [peer.RelayHandler].
func (h *simHandler) Relay(in peer.RelayReport) peer.RelayAnswer {
	out := h.Node.Relay(in)
	h.sizes.add("report", in)
	h.addCrashes(in.Crashes, out.Crashes)
	h.sizes.add("report state", in.Word.State)
	h.sizes.add("answer", out)
	if out.Whole {
		h.sizes.members.Add(int64(len(out.Word.Members) + len(out.Members)))
	}
	h.sizes.add("answer members", out.Word.Members)
	h.sizes.add("answer relays", out.Word.Relays)
	h.sizes.add("answer state", out.Word.State)
	h.sizes.add("answer state loads", out.Word.State.Loads)
	h.sizes.add("answer state shared", out.Word.State.Shared)
	h.sizes.add("answer state hot", out.Word.State.Hot)
	if out.News != nil {
		h.sizes.add("news entries", out.News.Entries)
		h.sizes.add("news beats", out.News.Beats)
		h.sizes.add("news parts", out.News.Parts)
	}
	return out
}

// Exchange implements [peer.Handler].
func (h *simHandler) Exchange(in peer.Exchange) peer.Exchange {
	out := h.Node.Exchange(in)
	h.sizes.add("exchange", in)
	h.addCrashes(in.Crashes, out.Crashes)
	h.sizes.add("exchange answer", out)
	return out
}

// addCrashes records the sizes of crash messages, which may be nil.
func (h *simHandler) addCrashes(words ...*peer.CrashMessage) {
	for _, w := range words {
		if w != nil {
			h.sizes.add("crashes", w)
		}
	}
}

// Recent implements [peer.RecentHandler].
func (h *simHandler) Recent(w peer.RecentNotice) {
	h.sizes.add("recent", w)
	h.Node.Recent(w)
}

// Placed implements [peer.PlacedHandler].
func (h *simHandler) Placed(w peer.PlacedNotice) {
	h.sizes.add("placed", w)
	h.Node.Placed(w)
}

// Holders implements [peer.HoldersHandler].
func (h *simHandler) Holders(q peer.HoldersQuery) peer.HoldersAnswer {
	out := h.Node.Holders(q)
	h.sizes.add("holders", q)
	h.sizes.add("holders answer", out)
	return out
}

// sizeEncoder measures values of one type on a gob stream that has already sent the type. With a stream
// for each value, most of the time would go into describing types.
type sizeEncoder struct {
	out bytes.Buffer
	enc *gob.Encoder
}

func newSizeEncoder(v any) *sizeEncoder {
	e := new(sizeEncoder)
	e.enc = gob.NewEncoder(&e.out)
	e.size(v)
	return e
}

// size returns the encoded size of a value.
func (e *sizeEncoder) size(v any) int64 {
	e.out.Reset()
	if err := e.enc.Encode(v); err != nil {
		panic(err)
	}
	return int64(e.out.Len())
}
