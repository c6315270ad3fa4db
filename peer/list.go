package peer

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"github.com/pathhead/pathhead/route"
)

// ListQuery requests a page of the list of targets, ordered by address, from a relay.
type ListQuery struct {
	// After is the last address of the previous page, invalid for the first page.
	After netip.AddrPort
	// Complete requests the complete list in one page from any process, as of the last reading that it
	// has. A process without a list, or with a long one, refuses.
	Complete bool
}

// ListOffer describes the list of targets that a process passes on to others; the zero value offers
// none.
type ListOffer struct {
	// Age is the time since the newest reading of the list began.
	Age time.Duration
	// Steady is the time before that reading in which the list was read without an outage of the store.
	Steady time.Duration
}

// ListPage is a page of the list of targets. A list of ten thousand targets takes several MB,
// which a slow link cannot carry within the call timeout.
type ListPage struct {
	Entries []*route.Entry
	More    bool
	// News has the relay's cursor and the age of its list at this page. The changes since the
	// first page's cursor, applied to all pages, complete the list. A complete list has no cursor.
	News RelayUpdate
}

// ListHandler answers list queries; a [Handler] may implement it.
type ListHandler interface {
	List(q ListQuery) (p ListPage, ok bool)
}

// List returns a page of the list of targets.
func (s peerService) List(in *ListQuery, out *ListPage) error {
	h, ok := s.handler.(ListHandler)
	if ok {
		*out, ok = h.List(*in)
	}
	if !ok {
		return errors.New("this process serves no list of targets")
	}
	return nil
}

// List requests a page of the list of targets from the process at addr.
func (p *Client) List(ctx context.Context, addr netip.AddrPort, q ListQuery) (ListPage, error) {
	return invoke[ListPage](ctx, p, addr, "List", &q)
}
