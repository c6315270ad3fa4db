package cli

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// settingsPollInterval is the interval at which a settings file is checked for changes
// that no signal announces.
const settingsPollInterval = 2 * time.Second

// WatchFile calls changed after each SIGHUP, and when the file changes without one, until
// ctx is done. SIGHUP stays caught and is ignored after that, since its default action
// would terminate a process that still drains.
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

// fileVersion distinguishes versions of a file by size and modification time.
type fileVersion struct {
	size    int64
	modTime time.Time
}

// readFileVersion returns a file's current version, or zero if the file can't be read.
func readFileVersion(path string) fileVersion {
	info, err := os.Stat(path)
	if err != nil {
		return fileVersion{}
	}
	return fileVersion{info.Size(), info.ModTime()}
}
