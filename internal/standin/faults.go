package standin

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Faults are the failures that a fake injects; durations are in milliseconds on the wire.
type Faults struct {
	// Down makes every call fail by closing its connection.
	Down bool `json:"down"`
	// SlowMS delays every call.
	SlowMS int `json:"slowMs"`
	// LoseReplies is the number of next writes that take effect but whose reply is lost.
	LoseReplies int `json:"loseReplies"`
	// BreakAt closes a stream's connection before the chunk of this number; zero is off.
	BreakAt int `json:"breakAt"`
	// BreakCount is the number of streams that BreakAt breaks; zero means all.
	BreakCount int `json:"breakCount"`
	// DropAt, DupAt and SwapAt drop a chunk, repeat it, and swap it with the next one, by its number.
	DropAt int `json:"dropAt"`
	DupAt  int `json:"dupAt"`
	SwapAt int `json:"swapAt"`
	// CrossReplies answers with the id of another attempt.
	CrossReplies bool `json:"crossReplies"`
	// Misreport makes answers name another incarnation ("incarnation") or other weights
	// ("weights"). An engine does so if it changed after its state was last read and
	// does not check what the request expects.
	Misreport string `json:"pose"`
	// EventLoss is the fraction of cache events that is lost, from 0 to 1.
	EventLoss float64 `json:"eventLoss"`
	// RefuseAll refuses every request before it runs.
	RefuseAll bool `json:"refuseAll"`
	// RetryAfter is the Retry-After header of refusals; if empty there is none.
	RetryAfter string `json:"retryAfter"`
	// FailAfterRun runs the request, then answers with status 500.
	FailAfterRun bool `json:"failAfterRun"`
	// HideFinish ends streams without a finish reason and an end marker.
	HideFinish bool `json:"hideFinish"`
	// Forge publishes an event of a block that was not stored, under a wrong incarnation.
	Forge bool `json:"forge"`
}

// The values of [Faults.Misreport].
const (
	MisreportIncarnation = "incarnation"
	MisreportWeights     = "weights"
)

// faultState holds the current faults and the seeded random source for probabilistic ones.
type faultState struct {
	mu      sync.Mutex
	current Faults
	rng     *rand.Rand
}

func newFaultState(seed uint64) *faultState {
	return &faultState{rng: rand.New(rand.NewPCG(seed, seed))}
}

func (b *faultState) get() Faults {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.current
}

func (b *faultState) set(f Faults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.current = f
}

// takeLostReply reports whether the current reply is to be lost, and decrements LoseReplies.
func (b *faultState) takeLostReply() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.current.LoseReplies == 0 {
		return false
	}
	b.current.LoseReplies--
	return true
}

// takeStreamBreak reports whether a stream is to be broken before chunk n, and decrements
// BreakCount; the last break also resets BreakAt.
func (b *faultState) takeStreamBreak(n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.current.BreakAt == 0 || n != b.current.BreakAt {
		return false
	}
	if b.current.BreakCount > 0 {
		b.current.BreakCount--
		if b.current.BreakCount == 0 {
			b.current.BreakAt = 0
		}
	}
	return true
}

// draw returns true with probability p.
func (b *faultState) draw(p float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return p > 0 && b.rng.Float64() < p
}

// handle serves GET and POST /standin/faults.
func (b *faultState) handle(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		var f Faults
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		b.set(f)
	}
	writeJSON(w, http.StatusOK, b.get())
}

// wrap adds to a handler the faults that are common to all fakes: Down and SlowMS.
func (b *faultState) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f := b.get()
		if f.Down {
			panic(http.ErrAbortHandler)
		}
		if f.SlowMS > 0 {
			time.Sleep(time.Duration(f.SlowMS) * time.Millisecond)
		}
		next.ServeHTTP(w, r)
	})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
