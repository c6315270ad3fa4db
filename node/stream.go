package node

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pathhead/pathhead/route"
	"github.com/pathhead/pathhead/transport"
)

func setLength(h http.Header, n int) { h.Set("Content-Length", strconv.Itoa(n)) }

// eventEnd is what ends an event of a stream.
var eventEnd = []byte("\n\n")

// streamBuffer is the size of the buffer that events are read into, in bytes; events have some 60.
const streamBuffer = 2 << 10

// stream passes an event stream on, whole events at a time, so that a broken one
// can go on at another target after the last that left.
func (f *forwarding) stream(a route.Attempt, resp *transport.Response, out route.Outcome, watch *time.Timer) route.Outcome {
	var (
		held  []byte
		buf   = make([]byte, streamBuffer)
		gap   = f.maxGap(a)
		first = true
	)
	for {
		if watch.Stop(); gap > 0 {
			watch.Reset(gap)
		}
		n, err := resp.Body.Read(buf)
		held = append(held, buf[:n]...)
		whole := completeEvents(held)
		if errors.Is(err, io.EOF) {
			whole = len(held)
		}
		if first && whole > 0 {
			// The head may come long before: only an event says that the prompt was read.
			first = false
			f.n.Do(func(b *route.Board, now time.Time) []route.Action { return b.FirstToken(now, a.Request, a.ID) })
		}
		if werr := f.forwardEvents(resp, a, held[:whole]); werr != nil {
			out.Kind, out.Detail = route.OutcomeBroken, "the caller left: "+werr.Error()
			return out
		}
		held = append(held[:0], held[whole:]...)
		switch {
		case errors.Is(err, io.EOF):
			if !f.started {
				f.writeHeader(resp)
			}
			f.done = true
			out.Kind, out.Delivered = route.OutcomeDone, f.started
			return out
		case err != nil:
			return f.attemptFailed(a.Target, out, err)
		}
	}
}

// completeEvents returns the length of the whole events at the beginning of data.
func completeEvents(data []byte) int {
	end := bytes.LastIndex(data, eventEnd)
	if end < 0 {
		return 0
	}
	return end + len(eventEnd)
}

// maxGap is how long a stream that can go on elsewhere may pause; zero means that it is left alone.
func (f *forwarding) maxGap(a route.Attempt) time.Duration {
	if !f.req.Resumable || a.Number >= f.req.MaxTries {
		return 0
	}
	return max(2*time.Duration(f.v.route.MaxGap), maxSilence)
}

// writeHeader writes the head of an answer.
func (f *forwarding) writeHeader(resp *transport.Response) {
	f.started = true
	copyHeader(f.v.w.Header(), resp.Header)
	f.v.w.WriteHeader(resp.Status)
}

// forwardEvents writes whole events to the caller.
func (f *forwarding) forwardEvents(resp *transport.Response, a route.Attempt, events []byte) error {
	if len(events) == 0 {
		return nil
	}
	if !f.started {
		f.writeHeader(resp)
		f.firstAfter = f.n.now.Since(f.v.begun)
		f.n.counters.firstPart(f.firstAfter)
	}
	for line := range bytes.Lines(events) {
		if id, ok := f.n.protocol.EventID(line); ok {
			f.lastEvent = id
		}
	}
	if _, err := f.v.w.Write(events); err != nil {
		return err
	}
	f.n.Lock()
	f.n.Board().Progress(f.n.now(), a.Request, a.ID)
	f.n.Unlock()
	return http.NewResponseController(f.v.w).Flush()
}
