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

// A hang-up asks for another look at the file, and one that comes during a planned
// stop, when nobody looks any more, does not end the process.
func TestWatchFileHangUp(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings")
	require.NoError(t, os.WriteFile(path, []byte("1"), 0o600))
	ctx, cancel := context.WithCancel(t.Context())
	changed := make(chan struct{}, 1)
	WatchFile(ctx, path, func() { changed <- struct{}{} })
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	<-changed
	cancel()
	// Without the mend the signal's handling has ended by then, and the test with it.
	time.Sleep(100 * time.Millisecond)
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	time.Sleep(100 * time.Millisecond)
}
