package node

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/zeebo/errs/v2"

	"github.com/pathhead/pathhead/event"
	"github.com/pathhead/pathhead/route"
	"github.com/pathhead/pathhead/transport"
)

func setLength(h http.Header, n int) { h.Set("Content-Length", strconv.Itoa(n)) }

// eventEnds are the ends of an event of a stream: a blank line, which may end with a carriage return.
var eventEnds = [][]byte{[]byte("\n\n"), []byte("\n\r\n")}

// maxEventEnd is the length in bytes of the longest of them.
const maxEventEnd = 3

// The ways in which a stream without a length or chunks shows that it was broken off.
var (
	errInsideEvent = errs.Tag("the stream ended inside an event")
	errNoEvent     = errs.Tag("the stream ended before its first event")
)

// Sizes of the buffers of a stream, in bytes.
const (
	// streamBuffer is the size of the read buffer; events have some 60 bytes.
	streamBuffer = 2 << 10
	// commonEvents is the size of buffered events that is part of a request's overhead, and maxEvent
	// the maximum size of one event.
	commonEvents = 4 * streamBuffer
	maxEvent     = 64 << 10
)

// stream forwards an event stream in complete events, so that a broken stream can resume at another
// target after the last event sent.
func (f *forwarding) stream(a route.Attempt, resp *transport.Response, out route.Outcome, timer *silenceTimer) route.Outcome {
	var (
		buffered []byte
		buf      = make([]byte, streamBuffer)
		first    = true
		// hasEvent is set once an event arrived, not only comments.
		hasEvent bool
		// counted is the part of buffered that is reserved.
		counted = commonEvents
	)
	defer func() { f.v.memory.shrink(int64(counted - commonEvents)) }()
	for {
		timer.Stop()
		if gap := f.maxGap(a); gap > 0 {
			timer.Reset(gap)
		}
		n, err := resp.Body.Read(buf)
		if n > 0 {
			f.heard()
			f.delayProbe()
		}
		complete := 0
		searched := max(0, len(buffered)-maxEventEnd+1)
		buffered = append(buffered, buf[:n]...)
		if end := completeEvents(buffered[searched:]); end > 0 {
			complete = searched + end
		}
		hasEvent = hasEvent || hasField(buffered[:complete])
		if errors.Is(err, io.EOF) {
			if err = f.checkEnd(a, resp, hasEvent, buffered[complete:], err); errors.Is(err, io.EOF) {
				complete = len(buffered)
			}
		}
		if first && complete > 0 {
			// The header may arrive long before; only the first event shows that prefill is done.
			first = false
			timer.begun.Store(true)
			f.n.Do(func(b *route.Board, now time.Time) []route.Action { return b.FirstToken(now, a.Request, a.ID) })
		}
		if werr := f.forwardEvents(resp, a, buffered[:complete]); werr != nil {
			out.Kind, out.Detail = route.OutcomeBroken, "the caller left: "+werr.Error()
			return out
		}
		buffered = append(buffered[:0], buffered[complete:]...)
		if size := cap(buffered); size > counted {
			if len(buffered) > maxEvent {
				return f.attemptFailed(a.Target, out, errs.Errorf("an event has more than %d bytes", maxEvent))
			}
			if !f.v.memory.grow(int64(size - counted)) {
				out.Local = true
				return f.attemptFailed(a.Target, out, errNoMemory.Errorf("an event has more than %d bytes", len(buffered)))
			}
			counted = size
		}
		switch {
		case errors.Is(err, io.EOF):
			if !f.started {
				f.writeHeader(resp)
			}
			f.complete()
			out.Kind, out.Delivered = route.OutcomeDone, f.started
			return out
		case err != nil:
			return f.attemptFailed(a.Target, out, err)
		}
	}
}

// checkEnd checks the end of a stream by whether it has an event and what is left over after its last
// complete one. It returns io.EOF, or another error if the stream was broken off. Of a stream that the
// caller has in part, nothing may be left to send.
func (f *forwarding) checkEnd(a route.Attempt, resp *transport.Response, hasEvent bool, leftOver []byte, eof error) error {
	if !resp.Unframed {
		return eof
	}
	inside := insideEvent(leftOver)
	f.n.counters.unframed(inside)
	switch {
	case !inside && !hasEvent && f.lastEvent == "":
		return errNoEvent.Wrap(io.ErrUnexpectedEOF)
	case !inside:
		return eof
	}
	f.n.events.Record(event.Event{
		Code: event.StreamEndedInside, Request: f.v.info.ID, Attempt: a.ID, Target: a.Target.String(),
		Detail: fmt.Sprintf("%d bytes of an event are left over", len(leftOver)),
	})
	return errInsideEvent.Wrap(io.ErrUnexpectedEOF)
}

// completeEvents returns the length of the complete events at the beginning of data.
func completeEvents(data []byte) int {
	end := 0
	for _, mark := range eventEnds {
		if i := bytes.LastIndex(data, mark); i >= 0 {
			end = max(end, i+len(mark))
		}
	}
	return end
}

// insideEvent reports whether a stream that ends with data, after its last complete event, ends inside an
// event or a line. Blank lines and comments belong to no event.
func insideEvent(data []byte) bool {
	return hasField(data) || len(data) > 0 && data[len(data)-1] != '\n'
}

// hasField reports whether data has a line that is a field of an event.
func hasField(data []byte) bool {
	for line := range bytes.Lines(data) {
		if text := bytes.TrimRight(line, "\r\n"); len(text) > 0 && text[0] != ':' {
			return true
		}
	}
	return false
}

// Bounds of a pause after which a stream is resumed elsewhere.
const (
	// gapFactor is the multiple of the route's longest pause. Callers abandon a stream after twice that
	// time.
	gapFactor = 4
	// minGap leaves time for a target that falls silent for a second, and for another one to
	// continue: callers wait for two seconds at least.
	minGap = 1500 * time.Millisecond
	// stopGapFraction is the part of the time left in a planned stop, after which a stream that is silent is cut
	// off in any case. The rest is for another target to continue.
	stopGapFraction = 0.5
	// minStopGap is longer than the pauses of a target that is at work.
	minStopGap = 300 * time.Millisecond
)

// maxGap returns the maximum pause of a stream that can resume elsewhere; zero means no limit.
func (f *forwarding) maxGap(a route.Attempt) time.Duration {
	if !f.req.Resumable || a.Number >= f.req.MaxTries {
		return 0
	}
	longest := time.Duration(f.v.route.MaxGap)
	gap := max(gapFactor*longest, minGap)
	if s := f.n.stop.Load(); s != nil {
		left := fraction(s.end().Sub(f.n.now()), stopGapFraction)
		gap = min(gap, max(left, longest, minStopGap))
	}
	return gap
}

// writeHeader writes the header of a response to the caller. A caller before HTTP/1.1 knows no chunks, so
// that the end of its connection is the end of the answer: until the answer is whole, any end is a reset.
func (f *forwarding) writeHeader(resp *transport.Response) {
	f.started = true
	if !f.v.r.ProtoAtLeast(1, 1) {
		resetOnClose(f.v.r, true)
	}
	copyHeader(f.v.w.Header(), resp.Header)
	f.v.w.WriteHeader(resp.Status)
}

// complete records that the whole answer was written to the caller.
func (f *forwarding) complete() {
	f.done = true
	if !f.v.r.ProtoAtLeast(1, 1) {
		resetOnClose(f.v.r, false)
	}
}

// forwardEvents writes complete events to the caller.
func (f *forwarding) forwardEvents(resp *transport.Response, a route.Attempt, events []byte) error {
	if len(events) == 0 {
		return nil
	}
	if !f.started {
		f.writeHeader(resp)
		f.firstAfter = f.n.now.Since(f.v.receivedAt)
		f.n.counters.firstPart(f.firstAfter)
	}
	for line := range bytes.Lines(events) {
		if id, ok := f.n.protocol.EventID(line); ok {
			f.lastEvent = id
		}
	}
	f.n.Lock()
	f.n.Board().Progress(f.n.now(), a.Request, a.ID)
	f.n.Unlock()
	return f.write(a, events)
}

// minCallerWait is the duration from which on a write counts as waiting for the caller. Others only
// copy to the kernel's buffer.
const minCallerWait = 5 * time.Millisecond

// write sends a part of the answer to the caller during an attempt.
func (f *forwarding) write(a route.Attempt, part []byte) error {
	begun := time.Now()
	_, err := f.v.w.Write(part)
	if err == nil {
		err = http.NewResponseController(f.v.w).Flush()
	}
	if took := time.Since(begun); took >= minCallerWait {
		f.n.Lock()
		f.n.Board().CallerWaited(a.Request, a.ID, took)
		f.n.Unlock()
	}
	return err
}
