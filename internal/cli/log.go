package cli

import (
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog/diode"
)

// maxPendingLogLines bounds the log lines that wait to be written; further ones are
// dropped and counted.
const maxPendingLogLines = 2048

// StdoutLogger returns a logger that writes one line for each event to standard output,
// as JSON or text. It never blocks: lines that can't be written, or not in time, are dropped,
// and dropped is called with their number. Closing writes the pending lines. The process ignores
// SIGPIPE from then on, since the end of the log's reader would end it.
func (c CommonFlags) StdoutLogger(process string, dropped func(n int)) (*slog.Logger, io.Closer) {
	signal.Ignore(syscall.SIGPIPE)
	w := diode.NewWriter(lineWriter{os.Stdout, dropped}, maxPendingLogLines, 0, dropped)
	opts := &slog.HandlerOptions{Level: c.LogLevel, ReplaceAttr: dropTime}
	var h slog.Handler = slog.NewJSONHandler(w, opts)
	if c.LogFormat == "text" {
		h = slog.NewTextHandler(w, opts)
	}
	return slog.New(h).With("process", process), w
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
