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

// node is a VM of the cluster with the process that currently runs there.
type node struct {
	name string
	// program is the path of the pathhead-node binary, dir the folder for settings and logs.
	program  string
	dir      string
	settings platformtest.Settings
	// door is the endpoint of the store that only this node uses, link the proxy in front of it.
	door *platformtest.Endpoint
	link *Proxy

	mu      sync.Mutex
	current *process
	boot    int
}

// process is one run of a node's program.
type process struct {
	cmd  *exec.Cmd
	boot int
	// ended is closed once the process has exited.
	ended chan struct{}
	// expected reports that the soak test itself ends the process.
	expected bool
}

// settingsFile returns the path of the node's settings file.
func (n *node) settingsFile() string { return filepath.Join(n.dir, n.name+".toml") }

// writeSettings writes the node's settings file with the given seeds.
func (n *node) writeSettings(seeds []netip.AddrPort) error {
	n.settings.Seeds = seeds
	return errs.Wrap(os.WriteFile(n.settingsFile(), []byte(n.settings.TOML()), 0o600))
}

// start starts the node's process unless one is running. Each process writes its output to
// a separate file. onExit is called if the process exits unexpectedly or with an error.
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
		// The process state below has the result.
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

// running returns the node's current process, or nil if none is running.
func (n *node) running() *process {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.current
}

// signal sends a signal to the process. expected says that the signal is meant to end it.
func (n *node) signal(p *process, s syscall.Signal, expected bool) {
	n.mu.Lock()
	p.expected = p.expected || expected
	n.mu.Unlock()
	// The signal fails only if the process has exited.
	_ = p.cmd.Process.Signal(s)
}

// kill kills the process and waits until it has exited.
func (n *node) kill(p *process) {
	n.signal(p, syscall.SIGKILL, true)
	<-p.ended
}

// readyTimeout bounds a readiness probe of the balancer.
const readyTimeout = time.Second

// ready probes the node's readiness endpoint as the balancer does.
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

// probeClient returns the balancer's HTTP client, which opens a new connection for each probe.
func probeClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
}
