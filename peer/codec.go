package peer

import (
	"bufio"
	"encoding/gob"
	"io"
	"net"
	"net/netip"
	"net/rpc"
)

// Observer hears of the bytes of one message of a call: sent to the process at addr, or
// read from it as the answer.
type Observer func(addr netip.AddrPort, method string, sent, read int)

// countingCodec is net/rpc's own coding of a client's calls, by gob, which tells the
// bytes of each message. [rpc.Client] writes one message at a time and reads one at a time.
type countingCodec struct {
	conn net.Conn
	out  *bufio.Writer
	enc  *gob.Encoder
	dec  *gob.Decoder
	// written and taken count the bytes that passed the coders.
	written  countingWriter
	received *countingReader
	// method is that of the answer whose head was read, begun how many bytes came before it.
	method       string
	messageStart int
	// observe hears of each message.
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
	begun := c.written.n
	if err := c.enc.Encode(r); err != nil {
		return err
	}
	if err := c.enc.Encode(body); err != nil {
		return err
	}
	c.observe(r.ServiceMethod, c.written.n-begun, 0)
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

// countingReader counts the bytes that are read. It reads single bytes too, so that a
// gob decoder takes no more than a message.
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
