package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/zeebo/errs/v2"
)

// ClaimState is the state of an at-most-once call.
type ClaimState string

// The states of a claim. A released claim was given up before any byte of the call was sent and may
// be taken again.
const (
	ClaimOpen     ClaimState = "open"
	ClaimReleased ClaimState = "released"
	ClaimDone     ClaimState = "done"
)

// Claim is the stored row of one at-most-once call.
type Claim struct {
	Owner    string     `json:"owner"`
	BodyHash string     `json:"bodyHash"`
	State    ClaimState `json:"state"`
	At       time.Time  `json:"at"`
	Outcome  *Outcome   `json:"outcome,omitempty"`
}

// Outcome is the recorded answer of a call, which is replayed to its repeats.
type Outcome struct {
	Status      int    `json:"status"`
	ContentType string `json:"contentType"`
	Body        []byte `json:"body"`
}

// CallKey identifies an at-most-once call.
type CallKey struct {
	Org   string
	Route string
	Key   string
}

// partClaim is the prefix of the table parts of claims; each organisation has its own part.
const partClaim = "claim/"

func (k CallKey) part() string { return partClaim + k.Org }

func (k CallKey) sort() string { return k.Route + "/" + k.Key }

// Ticket proves ownership of a claim; rev is the revision of its row.
type Ticket struct {
	key   CallKey
	claim Claim
	rev   int64
}

// Claims acquires and completes claims in the table.
type Claims struct {
	Table Table
}

// The reasons why a claim cannot be taken.
var (
	// ErrTaken means that another call holds the claim and has no outcome yet.
	ErrTaken = errs.Tag("the key is claimed by another call")
	// ErrBodyDiffers means that the key was already used with a different body.
	ErrBodyDiffers = errs.Tag("the key was used with another body")
)

// Take claims a call for an owner, which must be a new unique id. It returns a ticket if the call
// may be sent, the outcome recorded by an earlier call, or an error wrapping ErrTaken or
// ErrBodyDiffers. After any other error the call must not be sent; the claim may still have been
// written, and [Claims.Abandon] releases it.
//
// If a reply is lost, the same write is repeated with the same token. If its condition then fails,
// the row is read back to see whose claim it holds.
func (c Claims) Take(ctx context.Context, key CallKey, owner, bodyHash string, now time.Time) (*Ticket, *Outcome, error) {
	t := &Ticket{key: key, claim: Claim{Owner: owner, BodyHash: bodyHash, State: ClaimOpen, At: now}}
	for {
		err := c.write(ctx, owner, t)
		if err == nil {
			return t, nil, nil
		}
		if errors.Is(err, ErrConflict) {
			retry, outcome, err := c.resolveConflict(ctx, t)
			if !retry {
				return ticketOrNil(err == nil && outcome == nil, t), outcome, err
			}
			continue
		}
		if err := waitRetry(ctx); err != nil {
			return nil, nil, err
		}
	}
}

func ticketOrNil(ok bool, t *Ticket) *Ticket {
	if !ok {
		return nil
	}
	return t
}

func waitRetry(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return errs.Errorf("claim: %w", ctx.Err())
	case <-time.After(retryInterval):
		return nil
	}
}

// write stores the ticket's claim over revision t.rev and updates t.rev to the new revision.
func (c Claims) write(ctx context.Context, token string, t *Ticket) error {
	data, err := json.Marshal(t.claim)
	if err != nil {
		return errs.Wrap(err)
	}
	w := Write{Part: t.key.part(), Sort: t.key.sort(), Data: data, If: t.rev}
	if _, err := c.Table.Commit(ctx, token, w); err != nil {
		return err
	}
	t.rev++
	return nil
}

// resolveConflict reads the claim that caused a write to fail; retry is true if the write may be
// repeated over it.
func (c Claims) resolveConflict(ctx context.Context, t *Ticket) (retry bool, outcome *Outcome, err error) {
	existing, rev, err := c.read(ctx, t.key)
	switch {
	case err != nil:
		return false, nil, err
	case existing.Owner == t.claim.Owner:
		t.rev = rev
		return false, nil, nil
	case existing.BodyHash != t.claim.BodyHash:
		return false, nil, ErrBodyDiffers.Errorf("first used at %s", existing.At.Format(time.RFC3339))
	case existing.State == ClaimDone:
		return false, existing.Outcome, nil
	case existing.State == ClaimReleased:
		t.rev = rev
		return true, nil, nil
	}
	return false, nil, ErrTaken.Errorf("since %s", existing.At.Format(time.RFC3339))
}

func (c Claims) read(ctx context.Context, key CallKey) (Claim, int64, error) {
	for {
		row, ok, err := c.Table.Get(ctx, key.part(), key.sort())
		if err == nil && !ok {
			err = errs.Errorf("claim %s does not exist", key.sort())
		}
		var claim Claim
		if err == nil {
			err = json.Unmarshal(row.Data, &claim)
			return claim, row.Rev, err
		}
		if stop := waitRetry(ctx); stop != nil {
			return Claim{}, 0, err
		}
	}
}

// Wait polls a claim that another call holds until it has an outcome, is released, or the context
// ends.
func (c Claims) Wait(ctx context.Context, key CallKey) (Claim, error) {
	for {
		claim, _, err := c.read(ctx, key)
		if err != nil || claim.State != ClaimOpen {
			return claim, err
		}
		if err := waitRetry(ctx); err != nil {
			return claim, err
		}
	}
}

// Record stores the outcome of a claimed call, retrying until the context ends.
func (c Claims) Record(ctx context.Context, t *Ticket, o Outcome) error {
	t.claim.State = ClaimDone
	t.claim.Outcome = &o
	return c.finish(ctx, t, t.claim.Owner+"/done")
}

// Release gives up a claim. The caller must not have sent any byte of the call.
func (c Claims) Release(ctx context.Context, t *Ticket) error {
	t.claim.State = ClaimReleased
	return c.finish(ctx, t, t.claim.Owner+"/released")
}

func (c Claims) finish(ctx context.Context, t *Ticket, token string) error {
	for {
		err := c.write(ctx, token, t)
		if err == nil || errors.Is(err, ErrConflict) {
			return err
		}
		if err := waitRetry(ctx); err != nil {
			return err
		}
	}
}

// Abandon releases a claim that may have been written by a Take that returned an error, if it
// exists.
func (c Claims) Abandon(ctx context.Context, key CallKey, owner, bodyHash string) error {
	existing, rev, err := c.read(ctx, key)
	if err != nil || existing.Owner != owner || existing.State != ClaimOpen {
		return err
	}
	return c.Release(ctx, &Ticket{key: key, claim: existing, rev: rev})
}
