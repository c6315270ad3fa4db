package soak

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/zeebo/errs/v2"

	"github.com/pathhead/pathhead/platform/platformtest"
)

// node is a VM of the installation, with the process that runs there now.
type node struct {
	name string
	// program is the file of pathhead-node, dir the folder for settings and logs.
	program  string
	dir      string
	settings platformtest.Settings
	// door is the node's own at the store, link the proxy before it.
	door *platformtest.Endpoint
	link *Proxy

	mu      sync.Mutex
	current *process
	boot    int
}

// process is one start of a node.
type process struct {
	cmd  *exec.Cmd
	boot int
	// ended is closed once the process is gone.
	ended chan struct{}
	// wanted says that the soak ends it.
	expected bool
}

// settingsFile is the node's settings file.
func (n *node) settingsFile() string { return filepath.Join(n.dir, n.name+".toml") }

// writeSettings writes the node's settings with the seeds as they are now.
func (n *node) writeSettings(seeds []netip.AddrPort) error {
	n.settings.Seeds = seeds
	return errs.Wrap(os.WriteFile(n.settingsFile(), []byte(n.settings.TOML()), 0o600))
}

// start starts the node's process unless one runs. Its output goes to a file of its
// own; ended hears of an end that the soak did not bring about.
func (n *node) start(onExit func(n *node, state string)) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.current != nil {
		return nil
	}
	n.boot++
	out, err := os.Create(filepath.Join(n.dir, fmt.Sprintf("%s.%d.log", n.name, n.boot)))
	if err != nil {
		return errs.Wrap(err)
	}
	defer out.Close()
	p := &process{boot: n.boot, ended: make(chan struct{})}
	p.cmd = exec.Command(n.program, fmt.Sprintf("--metrics-port=%d", n.settings.Metrics), "--log-format=json")
	p.cmd.Env = append(os.Environ(), "PATHHEAD_CONFIG="+n.settingsFile())
	p.cmd.Stdout, p.cmd.Stderr = out, out
	if err := p.cmd.Start(); err != nil {
		return errs.Errorf("starting %s: %w", n.name, err)
	}
	n.current = p
	go func() {
		// How it ended is read from its state.
		_ = p.cmd.Wait()
		n.mu.Lock()
		expected := p.expected
		if n.current == p {
			n.current = nil
		}
		n.mu.Unlock()
		if code := p.cmd.ProcessState.ExitCode(); !expected || code > 0 {
			onExit(n, p.cmd.ProcessState.String())
		}
		close(p.ended)
	}()
	return nil
}

// running returns the node's process, or nil while there is none.
func (n *node) running() *process {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.current
}

// signal sends the process a signal by its id; wanted says that it is to end by it.
func (n *node) signal(p *process, s syscall.Signal, expected bool) {
	n.mu.Lock()
	p.expected = p.expected || expected
	n.mu.Unlock()
	// A process that has ended takes none.
	_ = p.cmd.Process.Signal(s)
}

// kill ends the process at once and waits until it is gone.
func (n *node) kill(p *process) {
	n.signal(p, syscall.SIGKILL, true)
	<-p.ended
}

// readyTimeout bounds the balancer's question.
const readyTimeout = time.Second

// ready asks the node as the balancer does.
func (n *node) ready(ctx context.Context, c *http.Client) bool {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.settings.Readiness.String()+"/-/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := c.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// probeClient returns the balancer's client, which asks over a new connection each time.
func probeClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
}
