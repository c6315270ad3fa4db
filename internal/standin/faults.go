package standin

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Faults are the failures a fake can be told to show; durations are in milliseconds on the wire.
type Faults struct {
	// Down makes every call fail by closing its connection.
	Down bool `json:"down"`
	// SlowMS delays every call.
	SlowMS int `json:"slowMs"`
	// LoseReplies is the number of next writes that take effect without a reply.
	LoseReplies int `json:"loseReplies"`
	// BreakAt closes the connection of a stream before this chunk; zero is off.
	BreakAt int `json:"breakAt"`
	// BreakCount bounds how many streams BreakAt breaks; zero means all.
	BreakCount int `json:"breakCount"`
	// DropAt, DupAt and SwapAt lose, repeat and exchange the chunk of that number.
	DropAt int `json:"dropAt"`
	DupAt  int `json:"dupAt"`
	SwapAt int `json:"swapAt"`
	// CrossReplies echoes another attempt's id.
	CrossReplies bool `json:"crossReplies"`
	// Pose makes answers say that they come from another incarnation ("incarnation")
	// or from other weights ("weights"), as those of an engine do that changed after
	// it was last asked and checks nothing.
	Misreport string `json:"pose"`
	// EventLoss is the share of cache events lost, from 0 to 1.
	EventLoss float64 `json:"eventLoss"`
	// RefuseAll answers every request with a refusal before running.
	RefuseAll bool `json:"refuseAll"`
	// RetryAfter is what refusals say by the header of that name; nothing if it is empty.
	RetryAfter string `json:"retryAfter"`
	// FailAfterRun runs the request, then answers status 500.
	FailAfterRun bool `json:"failAfterRun"`
	// HideFinish ends streams without the finish mark.
	HideFinish bool `json:"hideFinish"`
	// Forge publishes the event that this block was stored, under an old incarnation.
	Forge bool `json:"forge"`
}

// The things that [Faults.Pose] names.
const (
	MisreportIncarnation = "incarnation"
	MisreportWeights     = "weights"
)

// faultState holds the current faults and the seeded source of random ones.
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

// takeLostReply takes one of the replies that are to be lost.
func (b *faultState) takeLostReply() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.current.LoseReplies == 0 {
		return false
	}
	b.current.LoseReplies--
	return true
}

// takeStreamBreak reports whether a stream is to be broken before chunk n.
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

// draw draws from the seeded source.
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

// wrap applies the faults that any service can have to a handler.
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
