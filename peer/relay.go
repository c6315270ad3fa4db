package peer

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"github.com/pathhead/pathhead/event"
	"github.com/pathhead/pathhead/fleet"
	"github.com/pathhead/pathhead/route"
)

// RelayReport is what a process of a large fleet tells a relay.
type RelayReport struct {
	Stamp event.Stamp
	Word  fleet.RosterMessage[route.PeerState]
	// Config is the reporter's word on the configuration.
	Config fleet.ConfigStatus
	// Brief says that this is no report: the sender only asks who relays, or with Crashes
	// only tells of these.
	Brief bool
	// Asks says that the reporter wants news, after what Known has of them.
	Asks  bool
	Known RelayCursor
	// Digest names the members that the reporter was told of last.
	Digest  uint64
	Crashes *CrashMessage
}

// RelayCursor says how much of a relay's news a process has; one of another epoch has none.
type RelayCursor struct {
	Epoch   int64
	Entries int64
	Beats   int64
	Parts   int64
	// Members is how much of the changes of members it has.
	Members int64
}

// RelayAnswer is a relay's answer to a report.
type RelayAnswer struct {
	Stamp event.Stamp
	Word  fleet.RosterMessage[route.PeerState]
	// Whole says that the word speaks for everyone but the reporter.
	Whole bool
	// Digest names the word's members; they are left out where the reporter knows them.
	Digest uint64
	Same   bool
	// Members are the changes of the members since the reporter's cursor, in place of the whole
	// list, where Changed says so; MembersNext is where to go on.
	Members     []route.Change[string, fleet.Member]
	Changed     bool
	MembersNext int64
	Config      fleet.ConfigStatus
	// Newest is what the relay knows of the newest weights of models.
	Newest  []route.NewestUpdate
	News    *RelayUpdate
	Crashes *CrashMessage
}

// RelayUpdate is what changed at a relay since a cursor.
type RelayUpdate struct {
	Cursor RelayCursor
	// ListAge is how long ago the reading of the list of targets began that this is as of.
	ListAge time.Duration
	// Entries are changes of what the list says, Beats the signs of life of targets
	// whose entry says nothing new; Full ones replace what was told before.
	Entries     []route.Change[netip.AddrPort, *route.Entry]
	EntriesFull bool
	// Paged says that the whole list is to be asked for in pages.
	Paged     bool
	Beats     []route.Change[netip.AddrPort, int64]
	BeatsFull bool
	Parts     route.PartsUpdate
}

// RecentNotice tells of requests that were placed just now. One that a relay passes on
// is not passed on again to other relays.
type RecentNotice struct {
	Recent  []route.SentRequest
	Relayed bool
}

// RecentHandler takes such words; a [Handler] may be one.
type RecentHandler interface{ Recent(w RecentNotice) }

// Recent takes a word on requests that were placed just now.
func (s peerService) Recent(in *RecentNotice, _ *bool) error {
	if h, ok := s.handler.(RecentHandler); ok {
		h.Recent(*in)
	}
	return nil
}

// Recent tells the process at addr of requests that were placed just now.
func (p *Client) Recent(ctx context.Context, addr netip.AddrPort, w RecentNotice) error {
	_, err := invoke[bool](ctx, p, addr, "Recent", &w)
	return err
}

// RelayHandler answers the reports of a large fleet's processes; a [Handler] may be one.
type RelayHandler interface {
	Relay(in RelayReport) RelayAnswer
}

// Relay answers a report.
func (s peerService) Relay(in *RelayReport, out *RelayAnswer) error {
	h, ok := s.handler.(RelayHandler)
	if !ok {
		return errors.New("this process relays nothing")
	}
	*out = h.Relay(*in)
	return nil
}

// Relay reports to the process at addr.
func (p *Client) Relay(ctx context.Context, addr netip.AddrPort, in RelayReport) (RelayAnswer, error) {
	return invoke[RelayAnswer](ctx, p, addr, "Relay", &in)
}
