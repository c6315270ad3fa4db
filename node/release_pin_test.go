package node

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pathhead/pathhead/policy"
	"github.com/pathhead/pathhead/route"
)

// pinNode is a node with a resumable route to a service whose targets have releases.
type pinNode struct {
	*Node
	t   *testing.T
	cfg *policy.Config
}

func newPinNode(t *testing.T, split ...policy.Share) *pinNode {
	store := newSimStore(1)
	n, err := New(validSettings(), store, nil, store)
	require.NoError(t, err)
	p := &pinNode{Node: n, t: t, cfg: &policy.Config{
		Version: policy.Version,
		Pools: []policy.Pool{
			{Name: "p", Kind: policy.KindService, Selector: LabelPool + "=p"}, {Name: "q", Kind: policy.KindService, Selector: LabelPool + "=q"},
		},
		Routes: []policy.Route{{Name: "r", Pool: "p", Resumable: true, Streams: true, Split: split}},
	}}
	n.adopt(Declared{Revision: 1, Config: p.cfg}, "the test")
	return p
}

// list lists one target for each release, in a pool.
func (p *pinNode) list(pool string, releases ...string) {
	var out []route.ListedTarget
	for i, r := range releases {
		out = append(out, route.ListedTarget{
			Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(i)}), 80), Release: r, Labels: map[string]string{LabelPool: pool},
		})
	}
	p.Do(func(b *route.Board, now time.Time) []route.Action { return b.SetTargets(now, out) })
	p.releases.setListed(p.now())
	p.releases.setRead(p.now())
}

// ask pins a request.
func (p *pinNode) ask(info RequestInfo) (route.Request, *route.Refusal) {
	v := p.received(info)
	req := p.request(v)
	return req, p.pinRelease(v, &req)
}

// received returns a request of a caller.
func (p *pinNode) received(info RequestInfo) *callerRequest {
	return &callerRequest{
		w: httptest.NewRecorder(), r: httptest.NewRequest(http.MethodPost, "/x", nil), receivedAt: p.now(), info: info,
		route: &p.cfg.Routes[0], snap: &policy.Snapshot{Revision: 1, Config: p.cfg},
	}
}

// A stream that is taken up without the id of its first request may be any stream, so none that was taken
// up before tells its release.
func TestReleaseOfUnnamedStream(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		p := newPinNode(t)
		p.list("p", "v1")
		req, refusal := p.ask(RequestInfo{ID: "a", LastEvent: "3"})
		require.Nil(t, refusal)
		require.Equal(t, route.PinTo("v1"), req.Pin)
		p.list("p", "v1", "v2")
		_, refusal = p.ask(RequestInfo{ID: "b", LastEvent: "3"})
		require.NotNil(t, refusal)
	})
}

// A route may divide its requests among services. A stream that is taken up goes to the service that began
// it, whose targets are of its release.
func TestReleaseOfDividedRoute(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		p := newPinNode(t, policy.Share{Pool: "p", Weight: 3}, policy.Share{Pool: "q", Weight: 1})
		p.list("p", "v1")
		begun := make(map[string]int)
		for i := range 400 {
			id := fmt.Sprint("a-", i)
			first, _ := p.ask(RequestInfo{ID: id})
			next, _ := p.ask(RequestInfo{ID: "b-" + id, LastEvent: "3", Resumes: id})
			require.Equal(t, first.Pool, next.Pool)
			begun[first.Pool]++
		}
		require.InDelta(t, 100, begun["q"], 35)
	})
}

// A node that has just started may have requests before it has read the list. Once that shows two releases,
// a stream begins only where its id belongs, as other nodes expect.
func TestReleaseBeforeList(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		p := newPinNode(t)
		// The row is read, and the list is not yet.
		p.releases.setRead(p.now())
		for i := range 20 {
			req, refusal := p.ask(RequestInfo{ID: fmt.Sprint(i)})
			require.Nil(t, refusal)
			p.Do(func(b *route.Board, now time.Time) []route.Action {
				req.ID, req.QueueTime, req.Deadline = fmt.Sprint(i), 2*time.Second, now.Add(time.Minute)
				actions := b.Arrive(now, req)
				for _, a := range actions {
					require.NotContains(t, fmt.Sprintf("%T", a), "Send")
				}
				return nil
			})
		}
		split := route.WholeSplit(time.Time{}, "v2")
		p.Do(func(b *route.Board, now time.Time) []route.Action {
			b.AdoptReleases(now, "p", route.ReleaseHistory{Number: 1, Splits: []route.ReleaseSplit{split}})
			return nil
		})
		sent := 0
		p.Do(func(b *route.Board, now time.Time) []route.Action {
			var out []route.ListedTarget
			for i, r := range []string{"v1", "v2"} {
				out = append(out, route.ListedTarget{
					Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(i)}), 80), Release: r, Labels: map[string]string{LabelPool: "p"},
				})
			}
			actions := b.SetTargets(now, out)
			for _, e := range out {
				actions = append(actions, b.Report(now, e.Addr, route.Report{Incarnation: "i", Slots: 8})...)
			}
			for _, a := range actions {
				if s, ok := a.(route.Send); ok {
					sent++
					require.Equal(t, out[1].Addr, s.Attempt.Target, "a stream of v2 begins at v1")
				}
			}
			return nil
		})
		require.NotZero(t, sent)
	})
}

// A node that is cut off knows nothing of a split that the others write, however long it has been cut off,
// so it must not take a stream up by what it knows.
func TestReleaseCutOffForLong(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		fleet, group int
		want         bool
	}{
		"alone of 6":  {6, 1, false},
		"two of 6":    {6, 2, false},
		"four of 6":   {6, 4, true},
		"fleet of 1":  {1, 1, false},
		"six of 6":    {6, 6, true},
		"two of 2":    {2, 2, true},
		"one of 2":    {2, 1, false},
		"three of 84": {84, 3, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newPinNode(t)
				p.list("p", "v1")
				hears := func(nodes int) {
					p.Do(func(b *route.Board, now time.Time) []route.Action { return b.MergePeers(now, nil, nodes) })
					p.releases.setContacts(slices.Repeat([]time.Time{p.now()}, nodes-1))
					p.releases.round(t.Context())
				}
				hears(c.fleet)
				for range 60 {
					time.Sleep(time.Second)
					hears(c.group)
				}
				require.Equal(t, c.want, !p.releases.late("p", route.SplitLead))
			})
		})
	}
}

// A node that the others do not reach counts as cut off before they begin streams under a split that it has
// not heard of.
func TestReleaseCutOffNoticed(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newSimFleet(t, simSite{nodes: 6, engines: 12, perSecond: 40})
		f.settle()
		defer f.end()
		cut := f.nodes[0].releases
		for range 20 {
			time.Sleep(100 * time.Millisecond)
			for _, n := range f.nodes {
				require.NotEqual(t, contactFew, n.releases.contact(), n.settings().Name)
			}
		}
		f.net.cutOff(f.nodes[0].settings().Peers.Addr())
		time.Sleep(route.SplitLead - gossipInterval)
		require.Equal(t, contactFew, cut.contact())
	})
}

// Most nodes may be cut off from the store together while the others write a split.
func TestReleaseMinorityHasStore(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		releases []string
		hears    int
		late     bool
	}{
		"several releases, most nodes": {[]string{"v1", "v2"}, 4, true},
		"several releases, all nodes":  {[]string{"v1", "v2"}, 6, false},
		"one release, most nodes":      {[]string{"v1"}, 4, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newPinNode(t)
				p.list("p", c.releases...)
				for range 10 {
					p.Do(func(b *route.Board, now time.Time) []route.Action { return b.MergePeers(now, nil, 6) })
					p.releases.setContacts(slices.Repeat([]time.Time{p.now()}, c.hears-1))
					require.Equal(t, c.late && p.releases.n.now.Since(p.releases.listedAt) > route.SplitLead, p.releases.late("p", route.SplitLead))
					time.Sleep(time.Second)
				}
			})
		})
	}
}

// Guards against a request that another node handed over and that is placed at any release, since its route is
// no longer one of streams that may be resumed.
func TestHandedReleaseOfChangedRoute(t *testing.T) {
	t.Parallel()
	for name, change := range map[string]func(r *policy.Route){
		"unchanged":            func(*policy.Route) {},
		"no longer resumable":  func(r *policy.Route) { r.Resumable = false },
		"no longer of streams": func(r *policy.Route) { r.Streams = false },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newPinNode(t)
				p.list("p", "v1", "v2")
				change(&p.cfg.Routes[0])
				v := p.received(RequestInfo{ID: "a"})
				v.handed = &handedRequest{lastEvent: "3", release: route.PinTo("v2")}
				req := p.request(v)
				require.Nil(t, p.pinRelease(v, &req))
				require.Equal(t, route.PinTo("v2"), req.Pin)
				require.True(t, req.Continues)
			})
		})
	}
}

// Guards against a stream that goes on at another release, since a newer configuration has shorter timeouts and
// the split under which it began is forgotten too early.
func TestReleaseAfterTimeoutIsShortened(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		const longer, shorter = time.Minute, 5 * time.Second
		p := newPinNode(t)
		declare := func(revision int64, timeout time.Duration) {
			cfg := *p.cfg
			cfg.Routes = slices.Clone(cfg.Routes)
			cfg.Routes[0].Timeout = policy.Duration(timeout)
			p.cfg = &cfg
			p.adopt(Declared{Revision: revision, Config: &cfg}, "the test")
		}
		declare(2, longer)
		p.list("p", "v1", "v2")
		split := func(number int64, splits ...route.ReleaseSplit) {
			p.Do(func(b *route.Board, now time.Time) []route.Action {
				b.AdoptReleases(now, "p", route.ReleaseHistory{Number: number, Splits: splits})
				return nil
			})
		}
		first := route.WholeSplit(time.Time{}, "v1")
		split(1, first)
		p.releases.several()
		// A stream begins here, at another node.
		time.Sleep(time.Second)
		split(2, first, route.WholeSplit(p.now().Add(route.SplitLead), "v2"))
		time.Sleep(route.SplitLead)
		declare(3, shorter)
		for age := 3 * time.Second; age <= longer; age += time.Second {
			p.list("p", "v1", "v2")
			p.releases.several()
			if release, doubt := p.releases.bySplit("p", "a"); doubt == "" {
				require.Equal(t, "v1", release, "%s after the begin", age)
			}
			time.Sleep(time.Second)
		}
		// Nothing is remembered for longer than it matters.
		time.Sleep(route.LateSplitTime + shorter)
		p.list("p", "v1", "v2")
		p.releases.several()
		p.Do(func(*route.Board, time.Time) []route.Action {
			require.Equal(t, shorter, p.releases.streamLife())
			return nil
		})
		release, doubt := p.releases.bySplit("p", "a")
		require.Empty(t, doubt)
		require.Equal(t, "v2", release)
	})
}

// Guards against streams of slots that moved that are refused for longer than they last, since a node that
// starts takes the default timeout for that of an earlier configuration.
func TestStreamLifeBeforeConfiguration(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		const timeout = 5 * time.Second
		store := newSimStore(1)
		n, err := New(validSettings(), store, nil, store)
		require.NoError(t, err)
		n.releases.several()
		cfg := newPinNode(t).cfg
		cfg.Routes[0].Timeout = policy.Duration(timeout)
		n.adopt(Declared{Revision: 1, Config: cfg}, "the test")
		n.Do(func(*route.Board, time.Time) []route.Action {
			require.Equal(t, timeout, n.releases.streamLife())
			return nil
		})
	})
}
