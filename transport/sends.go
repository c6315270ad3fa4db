package transport

import "slices"

// Sends records the connections on which one request was sent. An answer names its request but not the
// send that it belongs to, and a target may send a late copy of an answer, so a request that is sent
// again takes a connection that has not carried it. The sends must not overlap. A nil *Sends records
// nothing.
type Sends struct {
	serials []uint64
}

func (s *Sends) add(c *conn) {
	if s != nil {
		s.serials = append(s.serials, c.serial)
	}
}

func (s *Sends) contains(c *conn) bool {
	return s != nil && slices.Contains(s.serials, c.serial)
}
