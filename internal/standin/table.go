package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Table is a fake of the table service. It implements the part of the DynamoDB API that
// pathhead uses.
type Table struct {
	faults *faultState

	mu     sync.Mutex
	items  map[itemID]item
	tokens map[string]bool
	reads  int
	writes int
}

// itemID is an item's primary key: its partition key and its sort key.
type itemID struct{ part, sort string }

// attr is one attribute value in the API's JSON form; B is base64-encoded.
type attr struct {
	S string  `json:"S,omitempty"`
	N string  `json:"N,omitempty"`
	B *string `json:"B,omitempty"`
}

type item map[string]attr

func (i item) id() itemID { return itemID{i["p"].S, i["s"].S} }

// NewTable returns an empty table.
func NewTable(seed uint64) *Table {
	return &Table{
		faults: newFaultState(seed),
		items:  make(map[itemID]item),
		tokens: make(map[string]bool),
	}
}

// Handler serves the API, the fault controls and the request counters.
func (t *Table) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/standin/faults", t.faults.handle)
	mux.HandleFunc("GET /standin/counters", t.counters)
	mux.Handle("/", t.faults.wrap(http.HandlerFunc(t.serve)))
	return mux
}

func (t *Table) counters(w http.ResponseWriter, _ *http.Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	writeJSON(w, http.StatusOK, struct {
		Reads  int `json:"reads"`
		Writes int `json:"writes"`
		Items  int `json:"items"`
	}{t.reads, t.writes, len(t.items)})
}

func (t *Table) serve(w http.ResponseWriter, r *http.Request) {
	_, op, _ := strings.Cut(r.Header.Get("X-Amz-Target"), ".")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set("Content-Type", "application/x-amz-json-1.0")
	switch op {
	case "GetItem":
		t.get(w, body)
	case "Query":
		t.query(w, body)
	case "TransactWriteItems":
		t.transact(w, body)
	default:
		apiError(w, "UnknownOperationException", op)
	}
}

func apiError(w http.ResponseWriter, kind, message string) {
	writeJSON(w, http.StatusBadRequest, map[string]string{
		"__type": "com.amazonaws.dynamodb.v20120810#" + kind, "message": message,
	})
}

func (t *Table) get(w http.ResponseWriter, body []byte) {
	var in struct{ Key item }
	if err := json.Unmarshal(body, &in); err != nil {
		apiError(w, "SerializationException", err.Error())
		return
	}
	t.mu.Lock()
	t.reads++
	found := t.items[in.Key.id()]
	t.mu.Unlock()
	writeJSON(w, http.StatusOK, struct {
		Item item `json:",omitempty"`
	}{found})
}

func (t *Table) query(w http.ResponseWriter, body []byte) {
	var in struct {
		ExpressionAttributeValues map[string]attr
		Limit                     int
	}
	if err := json.Unmarshal(body, &in); err != nil {
		apiError(w, "SerializationException", err.Error())
		return
	}
	part := in.ExpressionAttributeValues[":p"].S
	after := in.ExpressionAttributeValues[":s"].S
	t.mu.Lock()
	t.reads++
	var found []item
	for id, it := range t.items {
		if id.part == part && id.sort > after {
			found = append(found, it)
		}
	}
	t.mu.Unlock()
	slices.SortFunc(found, func(a, b item) int { return strings.Compare(a["s"].S, b["s"].S) })
	if in.Limit > 0 && len(found) > in.Limit {
		found = found[:in.Limit]
	}
	writeJSON(w, http.StatusOK, struct {
		Items []item
		Count int
	}{found, len(found)})
}

// tablePut is a conditional put, the only kind of transaction item that pathhead writes.
type tablePut struct {
	Item                      item
	ConditionExpression       string
	ExpressionAttributeValues map[string]attr
}

func (t *Table) transact(w http.ResponseWriter, body []byte) {
	var in struct {
		ClientRequestToken string
		TransactItems      []struct{ Put tablePut }
	}
	if err := json.Unmarshal(body, &in); err != nil {
		apiError(w, "SerializationException", err.Error())
		return
	}
	puts := make([]tablePut, 0, len(in.TransactItems))
	for _, ti := range in.TransactItems {
		puts = append(puts, ti.Put)
	}
	reasons, ok := t.commit(in.ClientRequestToken, puts)
	if t.faults.takeLostReply() {
		panic(http.ErrAbortHandler)
	}
	if !ok {
		writeJSON(w, http.StatusBadRequest, map[string]any{
			"__type":              "com.amazonaws.dynamodb.v20120810#TransactionCanceledException",
			"message":             "Transaction cancelled",
			"CancellationReasons": reasons,
		})
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

type cancellationReason struct{ Code string }

// commit applies all puts or none. A token that was committed before succeeds again
// without effect, as idempotency tokens of the API do.
func (t *Table) commit(token string, puts []tablePut) ([]cancellationReason, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.writes += len(puts)
	if t.tokens[token] {
		return nil, true
	}
	reasons := make([]cancellationReason, len(puts))
	ok := true
	for i, p := range puts {
		reasons[i].Code = "None"
		if !t.conditionMet(p) {
			reasons[i].Code = "ConditionalCheckFailed"
			ok = false
		}
	}
	if !ok {
		return reasons, false
	}
	t.tokens[token] = true
	for _, p := range puts {
		t.items[p.Item.id()] = p.Item
	}
	return nil, true
}

// conditionMet evaluates the condition of a put. It supports the two expressions that
// pathhead writes; any other one fails.
func (t *Table) conditionMet(p tablePut) bool {
	have, exists := t.items[p.Item.id()]
	switch p.ConditionExpression {
	case "attribute_not_exists(p)":
		return !exists
	case "v = :v":
		return exists && have["v"].N == p.ExpressionAttributeValues[":v"].N
	}
	return false
}

// Objects is a fake of the object store. It implements the part of the S3 API that
// pathhead uses.
type Objects struct {
	faults *faultState

	mu   sync.Mutex
	data map[string][]byte
}

// NewObjects returns an empty object store.
func NewObjects(seed uint64) *Objects {
	return &Objects{faults: newFaultState(seed), data: make(map[string][]byte)}
}

// Handler serves the API and the fault controls.
func (o *Objects) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/standin/faults", o.faults.handle)
	mux.Handle("/", o.faults.wrap(http.HandlerFunc(o.serve)))
	return mux
}

func (o *Objects) serve(w http.ResponseWriter, r *http.Request) {
	_, key, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	switch {
	case r.Method == http.MethodPut:
		o.put(w, r, key)
	case r.Method == http.MethodGet && key == "":
		o.list(w, r)
	case r.Method == http.MethodGet:
		o.mu.Lock()
		data, ok := o.data[key]
		o.mu.Unlock()
		if !ok {
			xmlError(w, http.StatusNotFound, "NoSuchKey")
			return
		}
		_, _ = w.Write(data)
	default:
		xmlError(w, http.StatusMethodNotAllowed, "MethodNotAllowed")
	}
}

func (o *Objects) put(w http.ResponseWriter, r *http.Request, key string) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	o.mu.Lock()
	_, exists := o.data[key]
	conflict := exists && r.Header.Get("If-None-Match") == "*"
	if !conflict {
		o.data[key] = data
	}
	o.mu.Unlock()
	if conflict {
		xmlError(w, http.StatusPreconditionFailed, "PreconditionFailed")
		return
	}
	if o.faults.takeLostReply() {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("ETag", `"standin"`)
}

func (o *Objects) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("start-after")
	o.mu.Lock()
	var keys []string
	for k := range o.data {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	o.mu.Unlock()
	slices.Sort(keys)
	var b strings.Builder
	b.WriteString(`<?xml version="1.0"?><ListBucketResult><IsTruncated>false</IsTruncated>`)
	for _, k := range keys {
		b.WriteString("<Contents><Key>" + k + "</Key></Contents>")
	}
	b.WriteString("</ListBucketResult>")
	w.Header().Set("Content-Type", "application/xml")
	_, _ = io.WriteString(w, b.String())
}

func xmlError(w http.ResponseWriter, status int, code string) {
	w.Header().Set("Content-Type", "application/xml")
	w.WriteHeader(status)
	_, _ = io.WriteString(w, `<?xml version="1.0"?><Error><Code>`+code+`</Code></Error>`)
}

// VMs is a fake of the platform's list of VMs, in which changes become visible with a delay.
type VMs struct {
	lag    time.Duration
	faults *faultState

	mu      sync.Mutex
	history []vmVersion
}

type vmVersion struct {
	at   time.Time
	data json.RawMessage
}

// NewVMs returns a list in which changes become visible after lag.
func NewVMs(lag time.Duration, initial json.RawMessage) *VMs {
	return &VMs{
		lag:     lag,
		faults:  newFaultState(0),
		history: []vmVersion{{data: initial}},
	}
}

// Handler serves the list at /vms and the fault controls. POST /standin/vms replaces the list.
func (v *VMs) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/standin/faults", v.faults.handle)
	mux.HandleFunc("POST /standin/vms", v.replace)
	mux.Handle("GET /vms", v.faults.wrap(http.HandlerFunc(v.serve)))
	return mux
}

func (v *VMs) replace(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil || !json.Valid(data) {
		http.Error(w, "the list of VMs is not valid JSON", http.StatusBadRequest)
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.history = append(v.history, vmVersion{at: time.Now(), data: data})
	writeJSON(w, http.StatusOK, struct{}{})
}

func (v *VMs) serve(w http.ResponseWriter, _ *http.Request) {
	v.mu.Lock()
	defer v.mu.Unlock()
	visible := v.history[0].data
	for _, h := range v.history {
		if time.Since(h.at) >= v.lag {
			visible = h.data
		}
	}
	writeJSON(w, http.StatusOK, visible)
}
