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

// RelayReport is the report of a process of a large fleet to a relay.
type RelayReport struct {
	Stamp event.Stamp
	Word  fleet.RosterMessage[route.PeerState]
	// Config is the reporter's configuration status.
	Config fleet.ConfigStatus
	// Brief marks a message without a report: the sender only asks which processes are
	// relays or, with Crashes, only sends crash updates.
	Brief bool
	// Asks requests the changes after the position Known.
	Asks  bool
	Known RelayCursor
	// Digest identifies the list of members that the reporter received last.
	Digest  uint64
	List    ListOffer
	Crashes *CrashMessage
}

// RelayCursor is a process's position in the changes at a relay; one with another epoch is void.
type RelayCursor struct {
	Epoch   int64
	Entries int64
	Beats   int64
	Parts   int64
	// Members is the position in the changes of members.
	Members int64
}

// RelayAnswer is a relay's answer to a report.
type RelayAnswer struct {
	Stamp event.Stamp
	Word  fleet.RosterMessage[route.PeerState]
	// Whole says that Word covers all processes except the reporter.
	Whole bool
	// Digest identifies the members in Word. Same says that the reporter has them already and
	// that Word omits them.
	Digest uint64
	Same   bool
	// Members are the changes of members since the reporter's cursor, which replace the whole
	// list if Changed is set; MembersNext is the position after them.
	Members     []route.Change[string, fleet.Member]
	Changed     bool
	MembersNext int64
	Config      fleet.ConfigStatus
	// Newest is what the relay knows of the newest weights of models.
	Newest  []route.NewestUpdate
	News    *RelayUpdate
	Crashes *CrashMessage
	// KnowsReleases is as in [Payload].
	KnowsReleases bool
}

// RelayUpdate holds the changes at a relay since a cursor.
type RelayUpdate struct {
	Cursor RelayCursor
	// ListAge is the time since the relay began the read of the list of targets that the
	// changes reflect.
	ListAge time.Duration
	// Steady is the time before that read in which the list was read without an outage of the store.
	Steady time.Duration
	// Entries are changed entries of the list, Beats the heartbeats of targets whose entry
	// is unchanged; if the matching Full flag is set, they replace all earlier ones.
	Entries     []route.Change[netip.AddrPort, *route.Entry]
	EntriesFull bool
	// Paged says that the whole list must be requested in pages.
	Paged     bool
	Beats     []route.Change[netip.AddrPort, int64]
	BeatsFull bool
	Parts     route.PartsUpdate
}

// RecentNotice notifies a peer of requests that were just placed and of what refusals just showed
// about targets. Relayed marks a notice forwarded by a relay, which other relays do not forward
// again.
type RecentNotice struct {
	Recent  []route.SentRequest
	Targets []route.TargetNotice
	Relayed bool
}

// RecentHandler processes notices of recent requests; a [Handler] may implement it.
type RecentHandler interface{ Recent(w RecentNotice) }

// Recent processes a notice of requests that were just placed.
func (s peerService) Recent(in *RecentNotice, _ *bool) error {
	if h, ok := s.handler.(RecentHandler); ok {
		h.Recent(*in)
	}
	return nil
}

// Recent notifies the process at addr of requests that were just placed.
func (p *Client) Recent(ctx context.Context, addr netip.AddrPort, w RecentNotice) error {
	_, err := invoke[bool](ctx, p, addr, "Recent", &w)
	return err
}

// RelayHandler answers the reports of a large fleet's processes; a [Handler] may implement it.
type RelayHandler interface {
	Relay(in RelayReport) RelayAnswer
}

// Relay answers a report.
func (s peerService) Relay(in *RelayReport, out *RelayAnswer) error {
	h, ok := s.handler.(RelayHandler)
	if !ok {
		return errors.New("this process is not a relay")
	}
	*out = h.Relay(*in)
	return nil
}

// Relay sends a report to the relay at addr and returns its answer.
func (p *Client) Relay(ctx context.Context, addr netip.AddrPort, in RelayReport) (RelayAnswer, error) {
	return invoke[RelayAnswer](ctx, p, addr, "Relay", &in)
}
