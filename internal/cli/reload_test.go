package cli

import (
	"context"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestWatchFileHangUp checks that SIGHUP triggers a reload, and that one during a planned
// stop, when the file is no longer watched, does not terminate the process.
func TestWatchFileHangUp(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings")
	require.NoError(t, os.WriteFile(path, []byte("1"), 0o600))
	ctx, cancel := context.WithCancel(t.Context())
	changed := make(chan struct{}, 1)
	WatchFile(ctx, path, func() { changed <- struct{}{} })
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	<-changed
	cancel()
	// Leaves time for the watcher to return. If it unregistered the signal then, SIGHUP would
	// terminate the test.
	time.Sleep(100 * time.Millisecond)
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	time.Sleep(100 * time.Millisecond)
}
