package cli

import (
	"io"
	"log/slog"
	"os"

	"github.com/rs/zerolog/diode"
)

// maxPendingLogLines is the number of lines that may wait to be written; more are dropped and counted.
const maxPendingLogLines = 2048

// StdoutLogger returns a log of one JSON line for each event on standard output.
// It never holds the process up: lines that can't be written in time are dropped,
// and dropped hears how many. Closing writes out what waits.
func (c CommonFlags) StdoutLogger(process string, dropped func(n int)) (*slog.Logger, io.Closer) {
	w := diode.NewWriter(os.Stdout, maxPendingLogLines, 0, dropped)
	opts := &slog.HandlerOptions{Level: c.LogLevel, ReplaceAttr: dropTime}
	var h slog.Handler = slog.NewJSONHandler(w, opts)
	if c.LogFormat == "text" {
		h = slog.NewTextHandler(w, opts)
	}
	return slog.New(h).With("process", process), w
}

// dropTime leaves out the time of logging: events carry the time at which they happened.
func dropTime(groups []string, a slog.Attr) slog.Attr {
	if len(groups) == 0 && a.Key == slog.TimeKey {
		return slog.Attr{}
	}
	return a
}
