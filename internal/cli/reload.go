package cli

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// settingsEvery is the time between two looks at a settings file, which may
// change without a signal.
const settingsEvery = 2 * time.Second

// WatchFile calls changed after each SIGHUP, and when the file was written
// without one, until ctx ends. From then on a SIGHUP is left without effect: it
// must not end a process that finishes its work.
func WatchFile(ctx context.Context, path string, changed func()) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	go func() {
		tick := time.NewTicker(settingsEvery)
		defer tick.Stop()
		last := fileStamp(path)
		for {
			select {
			case <-ctx.Done():
				return
			case <-hup:
			case <-tick.C:
				if fileStamp(path) == last {
					continue
				}
			}
			last = fileStamp(path)
			changed()
		}
	}()
}

// stamp tells two states of a file apart.
type stamp struct {
	size int64
	at   time.Time
}

// fileStamp returns a file's state, zero while it can't be read.
func fileStamp(path string) stamp {
	info, err := os.Stat(path)
	if err != nil {
		return stamp{}
	}
	return stamp{info.Size(), info.ModTime()}
}
