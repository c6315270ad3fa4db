package peer

import (
	"context"
	"errors"
	"net/netip"

	"github.com/pathhead/pathhead/route"
)

// ListQuery asks a relay for a page of the list of targets, in the order of their addresses.
type ListQuery struct {
	// After is the last address of the page before, invalid for the first page.
	After netip.AddrPort
}

// ListPage is a page of the list. A list of ten thousand targets has some MB, which a slow link does
// not carry within the time of a call.
type ListPage struct {
	Entries []*route.Entry
	More    bool
	// News has the relay's cursor and the age of its reading at this page: changes since the first
	// page's make the list whole.
	News RelayUpdate
}

// ListHandler answers such queries; a [Handler] may be one.
type ListHandler interface {
	List(q ListQuery) (p ListPage, ok bool)
}

// List answers a query for a page of the list.
func (s peerService) List(in *ListQuery, out *ListPage) error {
	h, ok := s.handler.(ListHandler)
	if ok {
		*out, ok = h.List(*in)
	}
	if !ok {
		return errors.New("this process has no list of targets to tell")
	}
	return nil
}

// List asks the process at addr for a page of the list of targets.
func (p *Client) List(ctx context.Context, addr netip.AddrPort, q ListQuery) (ListPage, error) {
	return invoke[ListPage](ctx, p, addr, "List", &q)
}
