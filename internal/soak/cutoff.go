package soak

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"sync"
)

// nodeCuts cuts single nodes off from all targets. The proxies in front of targets share it. Which
// node a connection belongs to is known from the socket's owner, since all nodes use one address.
type nodeCuts struct {
	// processes returns the process ids of the nodes that run, with their names.
	processes func() map[int]string

	mu     sync.Mutex
	states map[string]LinkState
	// changed is closed when a state changes.
	changed chan struct{}
}

func newNodeCuts(processes func() map[int]string) *nodeCuts {
	return &nodeCuts{processes: processes, states: make(map[string]LinkState), changed: make(chan struct{})}
}

// set sets the state of a node's links to all targets.
func (n *nodeCuts) set(node string, state LinkState) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.states[node] = state
	if state == Passing {
		delete(n.states, node)
	}
	close(n.changed)
	n.changed = make(chan struct{})
}

// state returns the state of the links of the node that opened a connection, and a channel that is
// closed when a state changes. The node is looked up only while a node is cut off.
func (n *nodeCuts) state(c *proxiedConn) (LinkState, <-chan struct{}) {
	if n == nil {
		return Passing, nil
	}
	n.mu.Lock()
	changed, cut := n.changed, len(n.states) > 0
	n.mu.Unlock()
	if !cut {
		return Passing, changed
	}
	node := n.nodeOf(c)
	n.mu.Lock()
	defer n.mu.Unlock()
	if state, ok := n.states[node]; ok {
		return state, n.changed
	}
	return Passing, n.changed
}

// nodeOf returns the node that opened a connection, or an empty name if its process has ended.
func (n *nodeCuts) nodeOf(c *proxiedConn) string {
	n.lookUp(c)
	return c.node
}

// lookUp looks up the nodes that opened connections.
func (n *nodeCuts) lookUp(conns ...*proxiedConn) {
	owners := sync.OnceValue(func() map[uint32]string { return socketOwners(n.processes()) })
	for _, c := range conns {
		c.lookUp.Do(func() {
			// Without an answer the connection counts as that of a node that is not cut off.
			if inode, err := socketInode(addrOf(c.downstream.RemoteAddr()), addrOf(c.downstream.LocalAddr())); err == nil {
				c.node = owners()[inode]
			}
		})
	}
}

func addrOf(a net.Addr) netip.AddrPort { return a.(*net.TCPAddr).AddrPort() }

// socketOwners returns the names of processes by the inodes of their sockets.
func socketOwners(processes map[int]string) map[uint32]string {
	out := make(map[uint32]string)
	for pid, name := range processes {
		dir := filepath.Join("/proc", strconv.Itoa(pid), "fd")
		// A process that has ended has no files.
		files, _ := os.ReadDir(dir)
		for _, f := range files {
			target, err := os.Readlink(filepath.Join(dir, f.Name()))
			var inode uint32
			if _, scanErr := fmt.Sscanf(target, "socket:[%d]", &inode); err == nil && scanErr == nil {
				out[inode] = name
			}
		}
	}
	return out
}

// runningProcesses returns the process ids of the nodes that run, with their names.
func (s *cluster) runningProcesses() map[int]string {
	out := make(map[int]string)
	for _, n := range s.allNodes() {
		if p := n.running(); p != nil {
			out[p.cmd.Process.Pid] = n.name
		}
	}
	return out
}

// cutOff cuts a node off from all targets for the step's length.
func (s *cluster) cutOff(ctx context.Context, step Step, n *node) {
	defer s.beginFault(InjectedFault{Scope: ScopeLink, Kind: step.Kind, Subject: n.name, Detail: string(step.Link)})()
	s.addImpairment(n)
	conns := s.targetConns()
	s.cuts.lookUp(conns...)
	s.cuts.set(n.name, step.Link)
	if step.Link == Reset {
		for _, c := range conns {
			if c.node == n.name {
				c.close(true)
			}
		}
	}
	wait(ctx, step.Length)
	if s.removeImpairment(n) {
		s.cuts.set(n.name, Passing)
	}
}

// targetConns returns the open connections to targets.
func (s *cluster) targetConns() []*proxiedConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*proxiedConn
	for _, sl := range s.slots {
		out = append(out, sl.proxy.openConns()...)
	}
	return out
}
