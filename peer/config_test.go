package peer

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pathhead/pathhead/fleet"
)

// documentOf returns a document of repeated routes, which compress well, followed by random bytes.
func documentOf(rt *rapid.T, revision int64) fleet.Document {
	text := strings.Repeat(`{"name":"r","backend":"s"},`, rapid.IntRange(0, 5000).Draw(rt, "routes"))
	noise := rapid.SliceOfN(rapid.Byte(), 0, 4*pieceBytes).Draw(rt, "noise")
	return fleet.Document{Revision: revision, Text: text + string(noise), Author: "a", At: time.Unix(revision, 0).UTC()}
}

// A document is received unchanged however often its download is interrupted, whichever peer
// is asked next, and whenever a newer document replaces it.
func TestConfigPieces(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		docs := []fleet.Document{documentOf(rt, 1), documentOf(rt, 2)}
		peers := []*packer{new(packer), new(packer)}
		var download downloadState
		got, calls, interrupted := download.resume(0), 0, 0
		at := 0
		for complete := false; !complete; calls++ {
			if at == 0 && rapid.IntRange(0, 9).Draw(rt, "newer") == 0 {
				at = 1
			}
			peer := rapid.IntRange(0, len(peers)-1).Draw(rt, "peer")
			p, err := peers[peer].pack(docs[at])
			require.NoError(rt, err)
			if rapid.IntRange(0, 3).Draw(rt, "breaks") == 0 {
				download.save(got)
				got = download.resume(0)
				interrupted++
			}
			complete, err = got.add(p.piece(ConfigQuery{Digest: got.digest, Offset: len(got.data)}))
			require.NoError(rt, err)
			require.LessOrEqual(rt, calls, 2*(len(p.data)/pieceBytes+20), "an interruption costs at most one piece")
		}
		d, err := unpackDocument(got.data)
		require.NoError(rt, err)
		require.Equal(rt, docs[at], d)
	})
}

// A process of a release that does not request pieces gets the whole document.
func TestConfigWhole(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	done := make(chan error, 1)
	go func() { done <- Serve(l, fakePeer{}) }()
	p := NewClient(time.Second, nil)
	d, err := invoke[fleet.Document](t.Context(), p, l.Addr().(*net.TCPAddr).AddrPort(), "Config", &ConfigQuery{From: "q"})
	require.NoError(t, err)
	require.EqualValues(t, 3, d.Revision)
	p.Close()
	require.NoError(t, l.Close())
	require.NoError(t, <-done)
}

// A piece that does not fit the part already received is an error.
func TestConfigPiecesBad(t *testing.T) {
	data := []byte(strings.Repeat("x", 3*pieceBytes))
	p := packedDocument{revision: 4, digest: 7, data: data}
	first := p.piece(ConfigQuery{})
	for name, piece := range map[string]ConfigPiece{
		"nothing":            {Revision: 4, Digest: 7, Size: len(data), Offset: len(first.Data)},
		"a gap":              {Revision: 4, Digest: 7, Size: len(data), Offset: len(first.Data) + 1, Data: []byte("x")},
		"the same again":     first,
		"more than its size": {Revision: 4, Digest: 7, Size: len(first.Data) + 1, Offset: len(first.Data), Data: []byte("xx")},
		"no end":             {Revision: 5, Digest: 8, Size: maxDocument + 1, Data: []byte("x")},
		"another sum":        {Revision: 4, Digest: 7, Size: len(first.Data) + 1, Offset: len(first.Data), Data: []byte("x")},
		"another's middle":   {Revision: 5, Digest: 8, Size: len(data), Offset: len(first.Data), Data: []byte("x")},
	} {
		t.Run(name, func(t *testing.T) {
			var d partialDocument
			_, err := d.add(first)
			require.NoError(t, err)
			_, err = d.add(piece)
			require.Error(t, err)
		})
	}
	_, err := unpackDocument(data)
	require.Error(t, err, "not a packed document")
}

// largeDocumentPeer answers with a large document.
type largeDocumentPeer struct {
	fakePeer
	doc fleet.Document
}

func (b largeDocumentPeer) Config() (fleet.Document, bool) { return b.doc, true }

// limitedListener closes each connection once that many bytes were sent on it.
type limitedListener struct {
	net.Listener
	bytes int
}

func (l limitedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return &limitedConn{Conn: c, left: l.bytes}, err
}

type limitedConn struct {
	net.Conn
	left int
}

func (c *limitedConn) Write(b []byte) (int, error) {
	if c.left -= len(b); c.left < 0 {
		c.Close()
		return 0, net.ErrClosed
	}
	return c.Conn.Write(b)
}

// A process completes the download of a document over connections that each close long before
// its end, and gets nothing from a peer that has no newer document.
func TestConfigOverBrokenConnections(t *testing.T) {
	var text strings.Builder
	for i := range 40_000 {
		fmt.Fprintf(&text, "%x ", uint32(i)*2654435761)
	}
	doc := fleet.Document{Revision: 3, Text: text.String()}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := l.Addr().(*net.TCPAddr).AddrPort()
	done := make(chan error, 1)
	go func() { done <- Serve(limitedListener{l, 3 * pieceBytes}, largeDocumentPeer{doc: doc}) }()
	p := NewClient(time.Second, nil)
	var got fleet.Document
	calls := 0
	for ok := false; !ok; calls++ {
		require.Less(t, calls, 100)
		got, ok, _ = p.Config(t.Context(), addr, "q", 2)
	}
	require.Equal(t, doc, got)
	require.Greater(t, calls, 3, "connections that were closed")
	_, ok, err := p.Config(t.Context(), addr, "q", 3)
	require.NoError(t, err)
	require.False(t, ok)
	p.Close()
	require.NoError(t, l.Close())
	require.NoError(t, <-done)
}
