package peer

import (
	"bytes"
	"compress/flate"
	"context"
	"encoding/gob"
	"errors"
	"io"
	"net/netip"
	"slices"
	"sync"

	"github.com/zeebo/errs/v2"
	"github.com/zeebo/xxh3"

	"github.com/pathhead/pathhead/fleet"
)

// pieceBytes is the size of the pieces in which a configuration goes from one process to
// another, each by a call of its own. A process that falls behind on a slow or busy link
// loses one piece of its way, never the whole: sent at once, a text that a link does not
// carry within the time of a call never arrives. With 10 Mbit/s a piece takes 13 ms, and
// the 32 processes that one relay answers may all wait for one within the time of a call.
const pieceBytes = 16 << 10

// maxDocument bounds a configuration that is unpacked, in bytes.
const maxDocument = 64 << 20

// ConfigQuery asks a peer for a piece of the configuration that it serves under.
type ConfigQuery struct {
	From string
	// Have is the revision that the asker has; only a newer one is of use to it.
	Have int64
	// Digest names the packed document that the asker has Offset bytes of, if any. A peer
	// that has another one answers with the first piece of it.
	Digest uint64
	Offset int
}

// ConfigPiece answers a [ConfigQuery]; without a newer document it is empty.
type ConfigPiece struct {
	Revision int64
	// Digest names the packed document, Size is what it has in bytes.
	Digest uint64
	Size   int
	Offset int
	Data   []byte
}

// Piece answers with a piece of the document in force.
func (s peerService) Piece(in *ConfigQuery, out *ConfigPiece) error {
	d, ok := s.handler.Config()
	if !ok || d.Revision <= in.Have {
		return nil
	}
	p, err := s.packed.pack(d)
	if err != nil {
		return err
	}
	*out = p.piece(*in)
	return nil
}

// Config answers with the whole document, for processes of releases that know no pieces:
// while a fleet is upgraded some ask for it. Those of this one find no pieces at the others, and
// read the store instead.
func (s peerService) Config(_ *ConfigQuery, out *fleet.Document) error {
	d, ok := s.handler.Config()
	if !ok {
		return errors.New("no configuration yet")
	}
	*out = d
	return nil
}

// packer packs the newest document once for all who ask.
type packer struct {
	mu     sync.Mutex
	newest packedDocument
}

// packedDocument is a document as it goes over the wire.
type packedDocument struct {
	revision int64
	digest   uint64
	data     []byte
}

func (p *packer) pack(d fleet.Document) (packedDocument, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.newest.revision == d.Revision {
		return p.newest, nil
	}
	data, err := packDocument(d)
	if err != nil {
		return packedDocument{}, errs.Errorf("revision %d: %w", d.Revision, err)
	}
	p.newest = packedDocument{revision: d.Revision, digest: xxh3.Hash(data), data: data}
	return p.newest, nil
}

func (p packedDocument) piece(q ConfigQuery) ConfigPiece {
	out := ConfigPiece{Revision: p.revision, Digest: p.digest, Size: len(p.data)}
	if q.Digest == p.digest && q.Offset >= 0 && q.Offset <= len(p.data) {
		out.Offset = q.Offset
	}
	out.Data = p.data[out.Offset:min(out.Offset+pieceBytes, len(p.data))]
	return out
}

// packDocument packs a document. Routes differ in little but their names: 4,200 of them take
// 0.88 MB as operators write them and 0.064 MB packed, for 3 ms of a core once and 2 ms at
// each process that unpacks them (BenchmarkPackDocument, BenchmarkUnpackDocument).
func packDocument(d fleet.Document) ([]byte, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if err := gob.NewEncoder(w).Encode(d); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

func unpackDocument(data []byte) (d fleet.Document, err error) {
	r := flate.NewReader(bytes.NewReader(data))
	err = gob.NewDecoder(io.LimitReader(r, maxDocument)).Decode(&d)
	return d, err
}

// partialDocument is a packed document of which some pieces have come.
type partialDocument struct {
	revision int64
	digest   uint64
	data     []byte
}

// add adds a piece and reports whether the document is whole. The first piece of another
// document, as of a peer that has adopted a newer one meanwhile, begins anew.
func (d *partialDocument) add(p ConfigPiece) (whole bool, err error) {
	if p.Digest != d.digest {
		*d = partialDocument{revision: p.Revision, digest: p.Digest}
	}
	if p.Offset != len(d.data) || len(p.Data) == 0 || p.Size > maxDocument || len(d.data)+len(p.Data) > p.Size {
		return false, errs.Errorf("revision %d: a piece of %d bytes at %d of %d, where %d have come", p.Revision, len(p.Data), p.Offset, p.Size, len(d.data))
	}
	d.data = append(d.data, p.Data...)
	if len(d.data) < p.Size {
		return false, nil
	}
	if xxh3.Hash(d.data) != p.Digest {
		return false, errs.Errorf("revision %d: the pieces do not make up what was announced", p.Revision)
	}
	return true, nil
}

// downloadState keeps what came of a document before a call failed, for the next call.
type downloadState struct {
	mu    sync.Mutex
	saved partialDocument
}

// resume returns what was kept of a newer revision than the given one.
func (t *downloadState) resume(have int64) partialDocument {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.saved.revision <= have {
		t.saved = partialDocument{}
	}
	out := t.saved
	out.data = slices.Clip(out.data)
	return out
}

// save keeps a document that is not whole, if it is newer than the kept one or more of it has come.
func (t *downloadState) save(d partialDocument) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if d.revision > t.saved.revision || d.revision == t.saved.revision && len(d.data) > len(t.saved.data) {
		t.saved = d
	}
}

// reset drops what was kept.
func (t *downloadState) reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.saved = partialDocument{}
}

// Config takes the document in force at addr if it is newer than the revision that the
// process has; ok is false if it is not. Each piece is a call of its own, so that all of them may
// take longer than the client's time. What came before a failure is kept for the next call, to
// whichever peer that has the same document.
func (p *Client) Config(ctx context.Context, addr netip.AddrPort, from string, have int64) (d fleet.Document, ok bool, err error) {
	got := p.download.resume(have)
	for whole := false; !whole; {
		q := ConfigQuery{From: from, Have: have, Digest: got.digest, Offset: len(got.data)}
		piece, err := invoke[ConfigPiece](ctx, p, addr, "Piece", &q)
		if err != nil {
			p.download.save(got)
			return d, false, errs.Errorf("after %d bytes: %w", q.Offset, err)
		}
		if piece.Revision <= have {
			return d, false, nil
		}
		if whole, err = got.add(piece); err != nil {
			p.download.reset()
			return d, false, errs.Errorf("peer %s: %w", addr, err)
		}
	}
	p.download.reset()
	if d, err = unpackDocument(got.data); err != nil {
		return d, false, errs.Errorf("peer %s, revision %d: %w", addr, got.revision, err)
	}
	return d, true, nil
}
