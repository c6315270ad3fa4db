package peer

import (
	"bufio"
	"encoding/gob"
	"io"
	"net"
	"net/netip"
	"net/rpc"
)

// Observer receives the size of each message of a call in bytes: of a request sent to the
// process at addr, or of a response read from it.
type Observer func(addr netip.AddrPort, method string, sent, read int)

// countingCodec is a gob client codec like the default one of net/rpc that also counts the
// bytes of each message. [rpc.Client] writes one message at a time and reads one at a time.
type countingCodec struct {
	conn net.Conn
	out  *bufio.Writer
	enc  *gob.Encoder
	dec  *gob.Decoder
	// written and received count the bytes that passed through the encoder and the decoder.
	written  countingWriter
	received *countingReader
	// method is the method of the response whose header was read last, messageStart the
	// number of bytes received before that header.
	method       string
	messageStart int
	// observe is called for each message.
	observe func(method string, sent, read int)
}

func newCountingCodec(conn net.Conn, observe func(method string, sent, read int)) *countingCodec {
	c := &countingCodec{conn: conn, out: bufio.NewWriter(conn), received: &countingReader{r: bufio.NewReader(conn)}, observe: observe}
	c.written.w = c.out
	c.enc, c.dec = gob.NewEncoder(&c.written), gob.NewDecoder(c.received)
	return c
}

// WriteRequest implements [rpc.ClientCodec].
func (c *countingCodec) WriteRequest(r *rpc.Request, body any) error {
	start := c.written.n
	if err := c.enc.Encode(r); err != nil {
		return err
	}
	if err := c.enc.Encode(body); err != nil {
		return err
	}
	c.observe(r.ServiceMethod, c.written.n-start, 0)
	return c.out.Flush()
}

// ReadResponseHeader implements [rpc.ClientCodec].
func (c *countingCodec) ReadResponseHeader(r *rpc.Response) error {
	c.messageStart = c.received.n
	err := c.dec.Decode(r)
	c.method = r.ServiceMethod
	return err
}

// ReadResponseBody implements [rpc.ClientCodec].
func (c *countingCodec) ReadResponseBody(body any) error {
	err := c.dec.Decode(body)
	c.observe(c.method, 0, c.received.n-c.messageStart)
	return err
}

// Close implements [rpc.ClientCodec].
func (c *countingCodec) Close() error { return c.conn.Close() }

// countingWriter counts the bytes that are written.
type countingWriter struct {
	w io.Writer
	n int
}

// Write implements [io.Writer].
func (c *countingWriter) Write(p []byte) (int, error) {
	n, err := c.w.Write(p)
	c.n += n
	return n, err
}

// countingReader counts the bytes that are read. It implements [io.ByteReader], so that a
// gob decoder adds no buffer of its own and reads no further than the current message.
type countingReader struct {
	r *bufio.Reader
	n int
}

// Read implements [io.Reader].
func (c *countingReader) Read(p []byte) (int, error) {
	n, err := c.r.Read(p)
	c.n += n
	return n, err
}

// ReadByte implements [io.ByteReader].
func (c *countingReader) ReadByte() (byte, error) {
	b, err := c.r.ReadByte()
	if err == nil {
		c.n++
	}
	return b, err
}
