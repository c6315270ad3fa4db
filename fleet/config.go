package fleet

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/zeebo/errs/v2"

	"github.com/pathhead/pathhead/policy"
)

// Document is one accepted configuration as it is stored; Text is what the operator wrote.
type Document struct {
	Revision int64     `json:"revision"`
	WriteID  string    `json:"writeId"`
	Author   string    `json:"author"`
	At       time.Time `json:"at"`
	Text     string    `json:"text"`
}

// Compile parses and compiles the document's text. It fails on text that this version of the
// program does not accept.
func (d Document) Compile() (*policy.Snapshot, error) {
	cfg, err := policy.Parse(fmt.Sprintf("revision %d", d.Revision), []byte(d.Text))
	if err != nil {
		return nil, err
	}
	return policy.Compile(cfg, d.Revision)
}

// Configs stores configurations in the table, which orders the revisions, and in the object store,
// which confirms them.
//
// A revision is in force only once it is in both, which the head in the table records. A router
// that starts while the table is unavailable therefore finds every revision that was ever in force
// in the object store.
type Configs struct {
	Table   Table
	Objects Objects
}

// The table part and the keys of configurations.
const (
	partConfig   = "config"
	keyHead      = "head"
	keyRevision  = "rev/%012d"
	objectPrefix = "config/"
)

// Head names the newest accepted revision and the newest one in force. The latter lags behind until
// the accepted revision is in the object store.
type Head struct {
	Revision int64 `json:"revision"`
	InForce  int64 `json:"inForce"`
}

// ErrSuperseded means that another operator's revision was accepted first.
var ErrSuperseded = errs.Tag("another revision was accepted first")

// ErrOutcomeUnknown means that it is not known whether a revision was accepted.
var ErrOutcomeUnknown = errs.Tag("unknown whether the revision was accepted")

// Head reads the head. It is zero if no revision was ever accepted.
func (c Configs) Head(ctx context.Context) (Head, error) {
	h, _, err := c.readHead(ctx)
	return h, err
}

func (c Configs) readHead(ctx context.Context) (h Head, rev int64, err error) {
	row, ok, err := c.Table.Get(ctx, partConfig, keyHead)
	if err != nil || !ok {
		return Head{}, 0, err
	}
	if err := json.Unmarshal(row.Data, &h); err != nil {
		return Head{}, 0, errs.Errorf("decode configuration head: %w", err)
	}
	return h, row.Rev, nil
}

// Get returns an accepted revision from the table.
func (c Configs) Get(ctx context.Context, revision int64) (Document, error) {
	row, ok, err := c.Table.Get(ctx, partConfig, fmt.Sprintf(keyRevision, revision))
	if err != nil {
		return Document{}, err
	}
	if !ok {
		return Document{}, errs.Errorf("revision %d is not in the table", revision)
	}
	return decodeDocument(row.Data)
}

// History returns at most limit accepted revisions after the given one, oldest first.
func (c Configs) History(ctx context.Context, after int64, limit int) ([]Document, error) {
	rows, err := c.Table.Range(ctx, partConfig, fmt.Sprintf(keyRevision, after), limit)
	if err != nil {
		return nil, err
	}
	var docs []Document
	for _, row := range rows {
		if !strings.HasPrefix(row.Sort, "rev/") {
			continue
		}
		d, err := decodeDocument(row.Data)
		if err != nil {
			return nil, err
		}
		docs = append(docs, d)
	}
	return docs, nil
}

func decodeDocument(data []byte) (Document, error) {
	var d Document
	if err := json.Unmarshal(data, &d); err != nil {
		return d, errs.Errorf("decode configuration document: %w", err)
	}
	return d, nil
}

// retryInterval is the time between attempts of an operation that failed or whose reply was lost.
const retryInterval = 50 * time.Millisecond

// Apply submits a document as the revision after base and puts it in force. It returns an error
// wrapping ErrSuperseded, with the other document, if another revision was accepted first, and one
// wrapping ErrOutcomeUnknown if the context ended before the table reported either.
//
// After a lost reply the head is read again: either the document is stored under its write id, or
// the write is repeated with the same token.
func (c Configs) Apply(ctx context.Context, base int64, d Document) (Document, error) {
	d.Revision = base + 1
	for {
		stored, err := c.tryApply(ctx, base, d)
		if err == nil {
			return stored, c.Confirm(ctx, stored)
		}
		if errors.Is(err, ErrSuperseded) {
			return stored, err
		}
		select {
		case <-ctx.Done():
			return d, ErrOutcomeUnknown.Wrap(err)
		case <-time.After(retryInterval):
		}
	}
}

// tryApply makes one attempt at the write. After an error that does not wrap ErrSuperseded the
// outcome is unknown.
func (c Configs) tryApply(ctx context.Context, base int64, d Document) (Document, error) {
	h, rev, err := c.readHead(ctx)
	if err != nil {
		return d, err
	}
	if h.Revision >= d.Revision {
		return c.readAccepted(ctx, d)
	}
	if h.Revision < base {
		return d, ErrSuperseded.Errorf("revision %d does not exist", base)
	}
	doc, err := json.Marshal(d)
	if err != nil {
		return d, errs.Wrap(err)
	}
	next, err := json.Marshal(Head{Revision: d.Revision, InForce: h.InForce})
	if err != nil {
		return d, errs.Wrap(err)
	}
	_, err = c.Table.Commit(ctx, d.WriteID,
		Write{Part: partConfig, Sort: fmt.Sprintf(keyRevision, d.Revision), Data: doc},
		Write{Part: partConfig, Sort: keyHead, Data: next, If: rev})
	return d, err
}

// readAccepted reads back the document that was accepted under the revision of d.
func (c Configs) readAccepted(ctx context.Context, d Document) (Document, error) {
	stored, err := c.Get(ctx, d.Revision)
	if err != nil || stored.WriteID == d.WriteID {
		return stored, err
	}
	return stored, ErrSuperseded.Errorf("revision %d was accepted from %s", stored.Revision, stored.Author)
}

// Confirm copies an accepted document to the object store and then puts it in force. It is
// idempotent, and any process may call it for any accepted document.
func (c Configs) Confirm(ctx context.Context, d Document) error {
	data, err := json.Marshal(d)
	if err != nil {
		return errs.Wrap(err)
	}
	if err := c.Objects.PutIfAbsent(ctx, objectKey(d.Revision), data); err != nil {
		return err
	}
	for {
		err := c.putInForce(ctx, d.Revision)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(retryInterval):
		}
	}
}

func (c Configs) putInForce(ctx context.Context, revision int64) error {
	h, rev, err := c.readHead(ctx)
	if err != nil || h.InForce >= revision {
		return err
	}
	h.InForce = revision
	data, err := json.Marshal(h)
	if err != nil {
		return errs.Wrap(err)
	}
	_, err = c.Table.Commit(ctx, rand.Text(), Write{Part: partConfig, Sort: keyHead, Data: data, If: rev})
	return err
}

func objectKey(revision int64) string { return fmt.Sprintf(objectPrefix+keyRevision, revision) }

// Confirmed returns the newest revision in the object store after the given one; ok is false if
// there is none.
func (c Configs) Confirmed(ctx context.Context, after int64) (d Document, ok bool, err error) {
	start := ""
	if after > 0 {
		start = objectKey(after)
	}
	keys, err := c.Objects.List(ctx, objectPrefix, start)
	if err != nil || len(keys) == 0 {
		return Document{}, false, err
	}
	data, ok, err := c.Objects.Get(ctx, keys[len(keys)-1])
	if err != nil || !ok {
		return Document{}, false, err
	}
	d, err = decodeDocument(data)
	return d, err == nil, err
}
