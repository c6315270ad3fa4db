package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pathhead/pathhead/internal/load"
	"github.com/pathhead/pathhead/internal/ports"
	"github.com/pathhead/pathhead/internal/programs"
	"github.com/pathhead/pathhead/internal/standin"
	"github.com/pathhead/pathhead/router"
)

// binaries is the folder with the compiled programs.
var binaries string

func TestMain(m *testing.M) {
	code, err := programs.Main(m, &binaries, "github.com/pathhead/pathhead/cmd/...")
	if err != nil {
		panic(err)
	}
	os.Exit(code)
}

// proc is a process that a test runs, and can restart.
type proc struct {
	t      *testing.T
	name   string
	cmd    *exec.Cmd
	args   []string
	log    *lockedBuffer
	exited chan struct{}
}

// lockedBuffer is a buffer for concurrent use that holds a process's log.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// start runs a program until the end of the test, and prints its log if the test fails.
func start(t *testing.T, name, program string, args ...string) *proc {
	t.Helper()
	p := &proc{t: t, name: name, args: append([]string{program}, args...), log: &lockedBuffer{}}
	p.run()
	t.Cleanup(func() {
		p.signal(syscall.SIGCONT)
		p.kill()
		if t.Failed() {
			t.Logf("log of %s:\n%s", name, tail(p.log.String()))
		}
	})
	return p
}

func containsAll(s string, parts ...string) bool {
	for _, p := range parts {
		if !strings.Contains(s, p) {
			return false
		}
	}
	return true
}

func tail(s string) string {
	const most = 4000
	return s[max(0, len(s)-most):]
}

func (p *proc) run() {
	p.t.Helper()
	p.cmd = exec.Command(filepath.Join(binaries, p.args[0]), p.args[1:]...)
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	require.NoError(p.t, p.cmd.Start())
	p.exited = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		defer close(done)
		_ = cmd.Wait()
	}(p.cmd, p.exited)
}

func (p *proc) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

func (p *proc) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// restart kills the process and starts it again with the same arguments.
func (p *proc) restart() {
	p.kill()
	p.run()
}

// freeAddrs returns n loopback addresses with free ports.
func freeAddrs(t *testing.T, n int) []netip.AddrPort {
	t.Helper()
	var out []netip.AddrPort
	for range n {
		out = append(out, ports.Free(t))
	}
	return out
}

// routerProc is a router or fleet process with its addresses for callers, operators and peers.
type routerProc struct {
	*proc
	callerAddr, operatorAddr, peerAddr netip.AddrPort
}

// targetProc is a stand-in process: a target, or a part of the platform.
type targetProc struct {
	*proc
	addr netip.AddrPort
	name string
	kind string
}

// setup configures a deployment.
type setup struct {
	engines  int
	services int
	routers  int
	fleets   int
	// engineFlags and routerFlags are added to the flags of each engine and router.
	engineFlags []string
	routerFlags []string
	config      string
}

// system is a running deployment.
type system struct {
	t        *testing.T
	table    *targetProc
	objects  *targetProc
	vms      *targetProc
	engines  []*targetProc
	services []*targetProc
	routers  []*routerProc
	fleets   []*routerProc
	labels   map[netip.AddrPort]string
	setup    setup
}

func newSystem(t *testing.T, s setup) *system {
	t.Helper()
	if s.config == "" {
		s.config = exampleConfig(t)
	}
	sys := &system{t: t, setup: s, labels: make(map[netip.AddrPort]string)}
	addrs := freeAddrs(t, 3+s.engines+s.services)
	sys.table = sys.standin("table", addrs[0], "table")
	sys.objects = sys.standin("objects", addrs[1], "objects")
	for i := range s.engines {
		flags := append([]string{"--model", "desk-7b", "--decode-time", "2ms", "--load-time", "300ms"}, s.engineFlags...)
		e := sys.standin(fmt.Sprintf("lm-desk-%d", i+1), addrs[3+i], "engine", flags...)
		sys.engines = append(sys.engines, e)
		sys.labels[e.addr] = "kind=engine,service=lm-desk,name=" + e.name
	}
	for i := range s.services {
		e := sys.standin(fmt.Sprintf("checkin-app-%d", i+1), addrs[3+s.engines+i], "service")
		sys.services = append(sys.services, e)
		sys.labels[e.addr] = "kind=service,service=checkin-app,name=" + e.name
	}
	sys.vms = sys.standin("vms", addrs[2], "vms")
	sys.await(sys.vms.addr, "/vms")
	sys.setVMList()
	sys.startRouters()
	sys.startFleets()
	sys.applyConfig(s.config)
	sys.awaitRouters()
	return sys
}

// exampleConfig returns the example configuration of Yunfeng.
func exampleConfig(t *testing.T) string {
	t.Helper()
	data, err := os.ReadFile("../../examples/yunfeng.yaml")
	require.NoError(t, err)
	return string(data)
}

func (s *system) standin(name string, addr netip.AddrPort, kind string, flags ...string) *targetProc {
	args := append([]string{"--listen", addr.String(), "--name", name, kind}, flags...)
	return &targetProc{proc: start(s.t, name, "pathhead-standin", args...), addr: addr, name: name, kind: kind}
}

// startRouters starts the routers and waits until their operator addresses answer.
func (s *system) startRouters() {
	s.startProcesses()
	for _, r := range s.routers {
		s.await(r.operatorAddr, "/healthz")
	}
}

func (s *system) startProcesses() {
	addrs := freeAddrs(s.t, 3*s.setup.routers)
	var seeds []string
	for i := range s.setup.routers {
		seeds = append(seeds, addrs[3*i+2].String())
	}
	for i := range s.setup.routers {
		a := addrs[3*i : 3*i+3]
		args := append([]string{
			"--name", fmt.Sprintf("r%d", i+1),
			"--callers", a[0].String(), "--operators", a[1].String(), "--peers", a[2].String(),
			"--seeds", strings.Join(seeds, ","), "--balancer-lag", "300ms", "--poll-every", "100ms",
		}, s.platform(true)...)
		args = append(args, s.setup.routerFlags...)
		p := start(s.t, args[1], "pathhead-router", args...)
		s.routers = append(s.routers, &routerProc{proc: p, callerAddr: a[0], operatorAddr: a[1], peerAddr: a[2]})
	}
}

func (s *system) platform(objects bool) []string {
	args := []string{"--table", "http://" + s.table.addr.String(), "--vms", "http://" + s.vms.addr.String() + "/vms"}
	if objects {
		args = append(args, "--objects", "http://"+s.objects.addr.String())
	}
	return args
}

func (s *system) startFleets() {
	addrs := freeAddrs(s.t, 2*s.setup.fleets)
	var seeds []string
	for _, r := range s.routers {
		seeds = append(seeds, r.peerAddr.String())
	}
	for i := range s.setup.fleets {
		args := append([]string{
			"--name", fmt.Sprintf("f%d", i+1), "--operators", addrs[2*i].String(), "--peers", addrs[2*i+1].String(),
			"--seeds", strings.Join(seeds, ","), "--lease", "3s", "--every", "200ms",
		}, s.platform(false)...)
		p := start(s.t, args[1], "pathhead-fleet", args...)
		s.fleets = append(s.fleets, &routerProc{proc: p, operatorAddr: addrs[2*i], peerAddr: addrs[2*i+1]})
	}
}

// setVMList sets the VM list to the targets, with those in draining marked accordingly.
func (s *system) setVMList(draining ...netip.AddrPort) {
	s.t.Helper()
	type group struct {
		Targets []string          `json:"targets"`
		Labels  map[string]string `json:"labels"`
	}
	groups := []group{}
	for addr, text := range s.labels {
		g := group{Targets: []string{addr.String()}, Labels: map[string]string{}}
		for _, pair := range strings.Split(text, ",") {
			k, v, _ := strings.Cut(pair, "=")
			g.Labels[k] = v
		}
		for _, l := range draining {
			if l == addr {
				g.Labels["state"] = "leaving"
			}
		}
		groups = append(groups, g)
	}
	s.post(s.vms.addr, "/standin/vms", groups)
}

// ctl runs pathheadctl against all routers and returns its output.
func (s *system) ctl(args ...string) (string, error) {
	var addrs []string
	for _, r := range s.routers {
		addrs = append(addrs, r.operatorAddr.String())
	}
	args = append(args, "--table", "http://"+s.table.addr.String(), "--objects", "http://"+s.objects.addr.String(), "--doors", strings.Join(addrs, ","))
	out, err := exec.Command(filepath.Join(binaries, "pathheadctl"), args...).CombinedOutput()
	return string(out), err
}

// applyConfig applies a configuration and waits until it is in force.
func (s *system) applyConfig(config string) {
	s.t.Helper()
	file := filepath.Join(s.t.TempDir(), "config.yaml")
	require.NoError(s.t, os.WriteFile(file, []byte(config), 0o600))
	out, err := s.ctl("apply", file, "--author", "test")
	require.NoError(s.t, err, out)
}

// awaitRouters waits until every router is ready and has polled all targets.
func (s *system) awaitRouters() {
	s.t.Helper()
	for _, r := range s.routers {
		s.awaitRouter(r)
	}
}

func (s *system) awaitRouter(r *routerProc) {
	s.t.Helper()
	s.await(r.callerAddr, "/readyz")
	s.eventually(func() bool {
		st, ok := s.status(r)
		n := 0
		for _, t := range st.Targets {
			if t.Incarnation != "" {
				n++
			}
		}
		return ok && n >= len(s.engines)+len(s.services)
	}, "router %s has polled all targets", r.name)
}

func (s *system) status(r *routerProc) (router.Status, bool) {
	var st router.Status
	err := s.getJSON(r.operatorAddr, "/v1/status", &st)
	return st, err == nil
}

// await waits until a GET returns status 200.
func (s *system) await(addr netip.AddrPort, path string) {
	s.t.Helper()
	s.eventually(func() bool { return s.getJSON(addr, path, nil) == nil }, "%s answers at %s", addr, path)
}

// waitTimeout bounds every wait. No assertion depends on how long a wait took.
const waitTimeout = 30 * time.Second

func (s *system) eventually(f func() bool, format string, args ...any) {
	s.t.Helper()
	end := time.Now().Add(waitTimeout)
	for !f() {
		if time.Now().After(end) {
			s.t.Fatalf("timed out waiting: "+format, args...)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

var httpClient = &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func (s *system) getJSON(addr netip.AddrPort, path string, into any) error {
	resp, err := httpClient.Get("http://" + addr.String() + path)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	if into == nil {
		return nil
	}
	return json.Unmarshal(data, into)
}

func (s *system) post(addr netip.AddrPort, path string, body any) {
	s.t.Helper()
	data, err := json.Marshal(body)
	require.NoError(s.t, err)
	resp, err := httpClient.Post("http://"+addr.String()+path, "application/json", bytes.NewReader(data))
	require.NoError(s.t, err)
	defer resp.Body.Close()
	require.Equal(s.t, http.StatusOK, resp.StatusCode)
}

func (s *system) setFaults(p *targetProc, f standin.Faults) {
	s.t.Helper()
	s.post(p.addr, "/standin/faults", f)
}

// runs returns the run log of a target, which shows what actually ran.
func (s *system) runs(p *targetProc) []standin.Run {
	s.t.Helper()
	var out []standin.Run
	require.NoError(s.t, s.getJSON(p.addr, "/standin/runs", &out))
	return out
}

// allRuns returns the runs of all engines that respond.
func (s *system) allRuns() []standin.Run {
	var out []standin.Run
	for _, e := range s.engines {
		var runs []standin.Run
		if s.getJSON(e.addr, "/standin/runs", &runs) == nil {
			out = append(out, runs...)
		}
	}
	return out
}

// client returns a client that sends requests to the given routers.
func (s *system) client(routers ...*routerProc) *load.Client {
	var addrs []netip.AddrPort
	for _, r := range routers {
		addrs = append(addrs, r.callerAddr)
	}
	c := load.NewClient(addrs, "w1", 0)
	s.t.Cleanup(c.Close)
	return c
}

// promptRequest returns a request with a long prompt. Requests with the same topic share all
// parts of it but the last.
func promptRequest(org, topic, userText string, tokens int) load.Arrival {
	return load.Arrival{
		Org: org, Model: "desk-7b", MaxTokens: tokens,
		Messages: []load.Message{
			{Role: "system", Content: load.FillerText("preamble", 128)},
			{Role: "system", Content: load.FillerText(topic, 512)},
			{Role: "user", Content: load.FillerText(userText, 32)},
		},
	}
}

func (s *system) send(c *load.Client, a load.Arrival) load.Result {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	return c.Do(ctx, a)
}

// repeatUntilStopped calls f repeatedly, with increasing n, in each of several goroutines until
// stop is called.
func repeatUntilStopped(workers int, f func(worker, n int)) (stop func()) {
	var wg sync.WaitGroup
	ended := make(chan struct{})
	for i := range workers {
		wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-ended:
					return
				default:
					f(i, n)
				}
			}
		})
	}
	return func() {
		close(ended)
		wg.Wait()
	}
}

// reply is the answer to a plain HTTP call.
type reply struct {
	status   int
	verdict  string
	replayed bool
	body     string
	code     string
	header   http.Header
}

// call posts a call with an idempotency key to a router. The status is 0 if the connection
// was cut.
func (s *system) call(r *routerProc, path, key, body string) reply {
	req, err := http.NewRequest(http.MethodPost, "http://"+r.callerAddr.String()+path, strings.NewReader(body))
	require.NoError(s.t, err)
	req.Header.Set("Authorization", "Bearer demo-formosa-air")
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	return s.doRequest(req)
}

func (s *system) doRequest(req *http.Request) reply {
	client := &http.Client{Timeout: waitTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return reply{}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return reply{}
	}
	out := reply{
		status: resp.StatusCode, verdict: resp.Header.Get("X-Pathhead-Verdict"), body: string(data),
		replayed: resp.Header.Get("Idempotent-Replayed") == "true", header: resp.Header,
	}
	var e struct {
		Error struct{ Code, Verdict string }
	}
	if json.Unmarshal(data, &e) == nil {
		out.code = e.Error.Code
		if e.Error.Verdict != "" {
			require.Equal(s.t, out.verdict, e.Error.Verdict, "header and body have the same verdict")
		}
	}
	return out
}
