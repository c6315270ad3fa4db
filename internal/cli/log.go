package cli

import (
	"io"
	"log/slog"
	"os"

	"github.com/rs/zerolog/diode"
)

// maxPendingLogLines bounds the log lines that wait to be written; further ones are
// dropped and counted.
const maxPendingLogLines = 2048

// StdoutLogger returns a logger that writes one line for each event to standard output,
// as JSON or text. It never blocks: lines that can't be written in time are dropped, and
// dropped is called with their number. Closing writes the pending lines.
func (c CommonFlags) StdoutLogger(process string, dropped func(n int)) (*slog.Logger, io.Closer) {
	w := diode.NewWriter(os.Stdout, maxPendingLogLines, 0, dropped)
	opts := &slog.HandlerOptions{Level: c.LogLevel, ReplaceAttr: dropTime}
	var h slog.Handler = slog.NewJSONHandler(w, opts)
	if c.LogFormat == "text" {
		h = slog.NewTextHandler(w, opts)
	}
	return slog.New(h).With("process", process), w
}

// dropTime removes the time of logging, since events have the time of their occurrence.
func dropTime(groups []string, a slog.Attr) slog.Attr {
	if len(groups) == 0 && a.Key == slog.TimeKey {
		return slog.Attr{}
	}
	return a
}
