package cli

import (
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rs/zerolog/diode"
	"github.com/zeebo/errs/v2"
)

// maxPendingLogLines bounds the log lines that wait to be written; further ones are
// dropped and counted.
const maxPendingLogLines = 2048

// StdoutLogger returns a logger that writes one line for each event to standard output,
// as JSON or text. It never blocks: lines that can't be written, or not in time, are dropped,
// and dropped is called with their number. Closing writes the pending lines, for flushTime at
// most. The process ignores SIGPIPE from then on, since the end of the log's reader would end it.
func (c CommonFlags) StdoutLogger(process string, dropped func(n int)) (*slog.Logger, io.Closer) {
	signal.Ignore(syscall.SIGPIPE)
	w := diode.NewWriter(lineWriter{os.Stdout, dropped}, maxPendingLogLines, 0, dropped)
	opts := &slog.HandlerOptions{Level: c.LogLevel, ReplaceAttr: dropTime}
	var h slog.Handler = slog.NewJSONHandler(w, opts)
	if c.LogFormat == "text" {
		h = slog.NewTextHandler(w, opts)
	}
	return slog.New(h).With("process", process), boundedCloser{w}
}

// flushTime bounds the writing of pending lines at the end of a process, so that a reader that takes
// none does not keep the process from ending in time.
const flushTime = 100 * time.Millisecond

// boundedCloser closes a writer, or leaves it to the end of the process after flushTime.
type boundedCloser struct{ io.Closer }

// Close implements [io.Closer].
func (c boundedCloser) Close() error {
	closed := make(chan error, 1)
	go func() { closed <- c.Closer.Close() }()
	select {
	case err := <-closed:
		return err
	case <-time.After(flushTime):
		return errs.Errorf("pending log lines were not written within %s", flushTime)
	}
}

// lineWriter writes lines and reports each that can't be written.
type lineWriter struct {
	w       io.Writer
	dropped func(n int)
}

// Write implements [io.Writer].
func (l lineWriter) Write(line []byte) (int, error) {
	n, err := l.w.Write(line)
	if err != nil {
		l.dropped(1)
	}
	return n, err
}

// dropTime removes the time of logging, since events have the time of their occurrence.
func dropTime(groups []string, a slog.Attr) slog.Attr {
	if len(groups) == 0 && a.Key == slog.TimeKey {
		return slog.Attr{}
	}
	return a
}
