package standin

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/pathhead/pathhead/route"
	"github.com/pathhead/pathhead/wire"
)

// orderRecord is one order that arrived and whether it was accepted. Tests of fencing
// use these records as their oracle.
type orderRecord struct {
	wire.Order
	At       time.Time `json:"at"`
	Accepted bool      `json:"accepted"`
	Reason   string    `json:"why,omitempty"`
}

// handleOrders lists all orders that arrived, also those that were rejected.
func (e *Engine) handleOrders(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, http.StatusOK, append([]orderRecord{}, e.orders...))
}

// handleOrder applies an order if its conditions and, with ChecksFencing, its fencing
// token allow it.
func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o wire.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		writeRefusal(w, http.StatusBadRequest, err.Error())
		return
	}
	e.mu.Lock()
	reason := e.rejectionReason(o)
	e.orders = append(e.orders, orderRecord{Order: o, At: time.Now().UTC(), Accepted: reason == "", Reason: reason})
	if reason == "" {
		e.apply(o)
	}
	e.mu.Unlock()
	if reason != "" {
		writeRefusal(w, http.StatusConflict, reason)
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

// rejectionReason returns why an order is rejected, or an empty string.
func (e *Engine) rejectionReason(o wire.Order) string {
	switch {
	case e.cfg.ChecksFencing && o.Fence < e.fence:
		return "stale fencing token"
	case o.Incarnation != "" && string(o.Incarnation) != e.incarnation:
		return "other incarnation"
	case e.models[o.Model].Weights != o.IfWeights:
		return "condition does not hold: weights are " + e.models[o.Model].Weights
	case e.loading > 0:
		return "loading"
	}
	return ""
}

// apply starts the change that an order asks for. A load takes LoadTime, during which
// the model is not served.
func (e *Engine) apply(o wire.Order) {
	e.fence = max(e.fence, o.Fence)
	switch o.Action {
	case wire.OrderRole:
		e.role = o.Role
	case wire.OrderUnload:
		delete(e.models, o.Model)
	case wire.OrderLoad:
		delete(e.models, o.Model)
		e.loading++
		time.AfterFunc(e.cfg.LoadTime, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.loading--
			e.models[o.Model] = loadedModel{Weights: o.Weights, Adapters: o.Adapters}
		})
	}
}

// kvExport is an export of cache blocks. The fake transfers only the blocks' hashes, not
// their contents.
type kvExport struct {
	Blocks []route.Block `json:"blocks"`
}

// importSpeedup is the ratio of the speeds of importing a block and of prefilling it.
const importSpeedup = 8

// handleExport answers with those of the requested blocks that are cached.
func (e *Engine) handleExport(w http.ResponseWriter, r *http.Request) {
	var in kvExport
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		writeRefusal(w, http.StatusBadRequest, err.Error())
		return
	}
	writeJSON(w, http.StatusOK, kvExport{Blocks: e.cache.present(in.Blocks)})
}

// handleImport stores exported blocks in the cache.
func (e *Engine) handleImport(w http.ResponseWriter, r *http.Request) {
	var in kvExport
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		writeRefusal(w, http.StatusBadRequest, err.Error())
		return
	}
	tokens := float64(len(in.Blocks) * route.BlockTokens)
	sleep(r.Context(), time.Duration(tokens/(importSpeedup*e.cfg.PrefillRate)*float64(time.Second)))
	e.cache.fill(in.Blocks, "import")
	writeJSON(w, http.StatusOK, struct{}{})
}
