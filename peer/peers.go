package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"log/slog"
	"net"
	"net/netip"
	"net/rpc"
	"strings"
	"sync"
	"time"

	"github.com/zeebo/errs/v2"

	"github.com/pathhead/pathhead/event"
	"github.com/pathhead/pathhead/fleet"
	"github.com/pathhead/pathhead/internal/door"
	"github.com/pathhead/pathhead/route"
)

// The kinds of process that gossip.
const (
	KindRouter = "router"
	KindFleet  = "fleet"
)

// Payload is the state that a process publishes about itself by gossip.
type Payload struct {
	Kind     string
	Draining bool
	Door     netip.AddrPort // address of the operators' listener
	// Zone is the failure domain of the process, Power its capacity relative to other processes.
	Zone  string
	Power float64
	Word  fleet.ConfigStatus
	State route.PeerState
	// TakesHandoffs is set if the process serves requests that others hand over.
	TakesHandoffs bool
	// PinsReleases is set if the process begins streams by the splits of releases.
	PinsReleases bool
	// KnowsReleases is set once the process has read the splits of releases since it started, or has them from one
	// that had.
	KnowsReleases bool
	List          ListOffer
}

// Entry is the gossip entry of one process.
type Entry = fleet.Entry[Payload]

// Exchange is a message of a gossip exchange; request and answer have the same form.
type Exchange struct {
	From  string
	Stamp event.Stamp
	Word  fleet.ConfigStatus
	// Newest is what the sender knows of the newest weights of models.
	Newest  []route.NewestUpdate
	Entries []Entry
	// Fresh is a digest of the processes of which the sender recently received entries, and itself.
	Fresh uint64
	// Relays are the relays of a large fleet, from which a new process learns its members.
	Relays  []fleet.Member
	Crashes *CrashMessage
}

// Handler answers the calls of peers.
type Handler interface {
	// Exchange processes a peer's message and returns the local one.
	Exchange(in Exchange) Exchange
	// Config returns the configuration in force; ok is false if there is none.
	Config() (d fleet.Document, ok bool)
}

// PlacedNotice notifies a peer of a placed request with a long prefill.
type PlacedNotice struct {
	From   string
	Epoch  int64
	Placed route.PlacementReport
}

// PlacedHandler processes notices of placed requests; a [Handler] may implement it.
type PlacedHandler interface{ Placed(w PlacedNotice) }

// Placed processes a notice of a placed request.
func (s peerService) Placed(in *PlacedNotice, _ *bool) error {
	if h, ok := s.handler.(PlacedHandler); ok {
		h.Placed(*in)
	}
	return nil
}

// Placed notifies the process at addr of a placed request.
func (p *Client) Placed(ctx context.Context, addr netip.AddrPort, w PlacedNotice) error {
	_, err := invoke[bool](ctx, p, addr, "Placed", &w)
	return err
}

// HoldersQuery requests the targets to which some blocks were recently sent.
type HoldersQuery struct{ Blocks []route.Block }

// HoldersAnswer is the answer to a [HoldersQuery].
type HoldersAnswer struct{ Fills []route.Fill }

// HoldersHandler answers queries for the holders of blocks; a [Handler] may implement it.
type HoldersHandler interface {
	Holders(q HoldersQuery) HoldersAnswer
}

// Holders answers a query for the holders of blocks.
func (s peerService) Holders(in *HoldersQuery, out *HoldersAnswer) error {
	if h, ok := s.handler.(HoldersHandler); ok {
		*out = h.Holders(*in)
	}
	return nil
}

// Holders requests the holders of blocks from the process at addr.
func (p *Client) Holders(ctx context.Context, addr netip.AddrPort, q HoldersQuery) (HoldersAnswer, error) {
	return invoke[HoldersAnswer](ctx, p, addr, "Holders", &q)
}

// StreamQuery requests the release at which the stream of a request began. Recorded asks the process to look
// into the record in the store as well.
type StreamQuery struct {
	ID       string
	Recorded bool
}

// StreamAnswer is the answer to a [StreamQuery]. Known is set if the process remembers that stream.
type StreamAnswer struct {
	Known   bool
	Release string
}

// StreamHandler answers queries for the releases of streams; a [Handler] may implement it.
type StreamHandler interface {
	Stream(q StreamQuery) StreamAnswer
}

// Stream answers a query for the release of a stream.
func (s peerService) Stream(in *StreamQuery, out *StreamAnswer) error {
	if h, ok := s.handler.(StreamHandler); ok {
		*out = h.Stream(*in)
	}
	return nil
}

// Stream requests the release of a stream from the process at addr.
func (p *Client) Stream(ctx context.Context, addr netip.AddrPort, q StreamQuery) (StreamAnswer, error) {
	return invoke[StreamAnswer](ctx, p, addr, "Stream", &q)
}

// BegunStreams are streams that began at one release. Keys are hashes of the ids of their requests.
type BegunStreams struct {
	Pool    string
	Release string
	Keys    []uint64
}

// BegunNotice passes on streams of pools with several releases.
type BegunNotice struct{ Streams []BegunStreams }

// BegunHandler processes notices of streams that began; a [Handler] may implement it. It reports whether the
// process cannot write to the store at present.
type BegunHandler interface {
	Begun(w BegunNotice) (unable bool)
}

// Begun processes a notice of streams that began.
func (s peerService) Begun(in *BegunNotice, unable *bool) error {
	if h, ok := s.handler.(BegunHandler); ok {
		*unable = h.Begun(*in)
	}
	return nil
}

// Begun notifies the process at addr of streams that began. It reports whether that process has them but cannot
// write to the store at present.
func (p *Client) Begun(ctx context.Context, addr netip.AddrPort, w BegunNotice) (unable bool, err error) {
	return invoke[bool](ctx, p, addr, "Begun", &w)
}

// peerName is the service's name in net/rpc.
const peerName = "Peer"

// peerService wraps a [Handler] in methods of the form that net/rpc requires.
type peerService struct {
	handler Handler
	packed  *packer
}

// Exchange answers a gossip exchange.
func (s peerService) Exchange(in *Exchange, out *Exchange) error {
	*out = s.handler.Exchange(*in)
	return nil
}

// Open opens the listener for peers; cfg is nil for plain TCP.
func Open(addr netip.AddrPort, cfg *tls.Config, log *slog.Logger, h Handler, opts ...ServeOption) (door.Listener, error) {
	l, err := door.Listen(addr, cfg, log)
	if err != nil {
		return door.Listener{}, err
	}
	return door.Listener{
		Serve: func() error { return Serve(l, h, opts...) },
		Close: func() { l.Close() },
	}, nil
}

// Serve answers peers on a listener until it is closed, and then closes their connections.
func Serve(l net.Listener, h Handler, opts ...ServeOption) error {
	var set serveSettings
	for _, opt := range opts {
		opt(&set)
	}
	server := rpc.NewServer()
	if err := server.RegisterName(peerName, peerService{handler: h, packed: new(packer)}); err != nil {
		return errs.Wrap(err)
	}
	var (
		mu    sync.Mutex
		conns = make(map[net.Conn]bool)
		wg    sync.WaitGroup
	)
	defer wg.Wait()
	defer func() {
		mu.Lock()
		defer mu.Unlock()
		for c := range conns {
			c.Close()
		}
	}()
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return errs.Errorf("accept peer connection: %w", err)
		}
		mu.Lock()
		conns[c] = true
		mu.Unlock()
		wg.Go(func() {
			set.serve(server, c)
			mu.Lock()
			defer mu.Unlock()
			delete(conns, c)
		})
	}
}

// Client calls other processes over net/rpc and keeps a connection to each.
type Client struct {
	timeout time.Duration
	dial    Dial
	observe Observer

	// download is the configuration that is being downloaded from peers.
	download downloadState

	mu      sync.Mutex
	clients map[netip.AddrPort]*rpc.Client
	counts  map[netip.AddrPort]*countingConn
	sent    int64
	read    int64
}

// Dial opens a connection to the process at addr.
type Dial func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)

// ClientOption changes a [Client] at its construction.
type ClientOption func(*Client)

// WithDial sets how connections are opened, in place of TCP or TLS.
func WithDial(d Dial) ClientOption {
	return func(p *Client) { p.dial = d }
}

// WithObserver sets the function that is called with the size of each message; it must not block.
func WithObserver(o Observer) ClientOption {
	return func(p *Client) { p.observe = o }
}

// NewClient returns a client whose calls each end within timeout; cfg is nil for plain TCP.
func NewClient(timeout time.Duration, cfg *tls.Config, opts ...ClientOption) *Client {
	p := &Client{
		timeout: timeout,
		dial:    dialer(cfg),
		observe: func(netip.AddrPort, string, int, int) {},
		clients: make(map[netip.AddrPort]*rpc.Client),
		counts:  make(map[netip.AddrPort]*countingConn),
	}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Exchange sends a gossip message to the process at addr and returns its answer.
func (p *Client) Exchange(ctx context.Context, addr netip.AddrPort, in Exchange) (Exchange, error) {
	return invoke[Exchange](ctx, p, addr, "Exchange", &in)
}

// Close closes all connections.
func (p *Client) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, c := range p.clients {
		c.Close()
		delete(p.clients, addr)
	}
}

// Traffic returns the bytes sent and read so far.
func (p *Client) Traffic() (sent, read int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	sent, read = p.sent, p.read
	for _, c := range p.counts {
		s, r := c.counts()
		sent += s
		read += r
	}
	return sent, read
}

// invoke makes one call and returns its answer. A late answer to an abandoned call is decoded
// into a value that nothing refers to any more.
func invoke[T any](ctx context.Context, p *Client, addr netip.AddrPort, method string, in any) (T, error) {
	out := new(T)
	if err := p.call(ctx, addr, method, in, out); err != nil {
		var none T
		return none, err
	}
	return *out, nil
}

// call makes one call. After a failure it closes the connection, which may have stopped
// responding. If the caller's own context ends before the client's timeout, the connection
// stays open, since this is no sign of a fault; the late answer is dropped.
func (p *Client) call(ctx context.Context, addr netip.AddrPort, method string, in, out any) error {
	caller := ctx
	ctx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	client, err := p.client(ctx, addr)
	if err != nil {
		return err
	}
	call := client.Go(peerName+"."+method, in, out, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		err = call.Error
	case <-ctx.Done():
		err = ctx.Err()
	}
	var remote rpc.ServerError
	if err != nil && !errors.As(err, &remote) && caller.Err() == nil {
		p.drop(addr, client)
	}
	if err != nil {
		return errs.Errorf("peer %s: %w", addr, err)
	}
	return nil
}

func (p *Client) client(ctx context.Context, addr netip.AddrPort) (*rpc.Client, error) {
	p.mu.Lock()
	c, ok := p.clients[addr]
	p.mu.Unlock()
	if ok {
		return c, nil
	}
	conn, err := p.dial(ctx, addr)
	if err != nil {
		return nil, errs.Errorf("peer %s: %w", addr, err)
	}
	counted := &countingConn{Conn: conn}
	c = rpc.NewClientWithCodec(newCountingCodec(counted, func(method string, sent, read int) {
		p.observe(addr, strings.TrimPrefix(method, peerName+"."), sent, read)
	}))
	p.mu.Lock()
	defer p.mu.Unlock()
	if other, ok := p.clients[addr]; ok {
		c.Close()
		return other, nil
	}
	p.clients[addr] = c
	p.counts[addr] = counted
	return c, nil
}

// dialer returns a function that opens TCP connections, with TLS if cfg is not nil.
func dialer(cfg *tls.Config) Dial {
	var d net.Dialer
	open := d.DialContext
	if cfg != nil {
		open = (&tls.Dialer{NetDialer: &d, Config: cfg}).DialContext
	}
	return func(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
		return open(ctx, "tcp", addr.String())
	}
}

func (p *Client) drop(addr netip.AddrPort, c *rpc.Client) {
	c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.clients[addr] != c {
		return
	}
	delete(p.clients, addr)
	if counted, ok := p.counts[addr]; ok {
		s, r := counted.counts()
		p.sent += s
		p.read += r
		delete(p.counts, addr)
	}
}
