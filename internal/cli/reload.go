package cli

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// settingsPollInterval is the time between two looks at a settings file, which may
// change without a signal.
const settingsPollInterval = 2 * time.Second

// WatchFile calls changed after each SIGHUP, and when the file was written
// without one, until ctx ends. From then on a SIGHUP is left without effect: it
// must not end a process that finishes its work.
func WatchFile(ctx context.Context, path string, changed func()) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	go func() {
		tick := time.NewTicker(settingsPollInterval)
		defer tick.Stop()
		last := readFileVersion(path)
		for {
			select {
			case <-ctx.Done():
				return
			case <-hup:
			case <-tick.C:
				if readFileVersion(path) == last {
					continue
				}
			}
			last = readFileVersion(path)
			changed()
		}
	}()
}

// fileVersion tells two states of a file apart.
type fileVersion struct {
	size    int64
	modTime time.Time
}

// readFileVersion returns a file's state, zero while it can't be read.
func readFileVersion(path string) fileVersion {
	info, err := os.Stat(path)
	if err != nil {
		return fileVersion{}
	}
	return fileVersion{info.Size(), info.ModTime()}
}
