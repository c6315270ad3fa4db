package rig2

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/pathhead/pathhead/platform/platformtest"
)

// probeTime is how long requests are sent after a configuration, and probeEvery the time between two.
const (
	probeTime  = 12 * time.Second
	probeEvery = 400 * time.Millisecond
)

// seatRoute is the route of the requests that may run once.
func seatRoute(service string) platformtest.Route {
	return platformtest.Route{Name: "seat", Host: host, Prefix: "/seat/", Kind: "non_idempotent", TimeoutMS: 1500, AimMS: 300, Priority: 2, Service: service, Attempts: 1}
}

func plainService(name string) platformtest.Service {
	return platformtest.Service{Name: name, HealthPath: "/healthz", MaxConns: 110}
}

// startPlain starts replicas of services.
func (r *rig) startPlain(services ...string) error {
	for k, service := range services {
		for i := range 2 {
			if err := r.startReplica(fmt.Sprintf("i-%d-%d", k, i), service); err != nil {
				return err
			}
		}
	}
	return nil
}

// lastTenantRemoved takes the only tenant out of the configuration, and with it its key. Without the disruption,
// the configuration keeps the tenant without its key.
func lastTenantRemoved(ctx context.Context, r *rig) error {
	if err := r.startPlain("checkin-app"); err != nil {
		return err
	}
	c := configuration{
		Version: 7, Routes: []platformtest.Route{seatRoute("checkin-app")}, Services: []platformtest.Service{plainService("checkin-app")},
		Tenants: []tenant{{Name: "carrier-a", Keys: []string{"key-a"}}}, Limits: limits,
	}
	if err := r.begin(ctx, c, "key-a"); err != nil {
		return err
	}
	c.Version = 12
	c.Tenants = []tenant{}
	if !r.trouble {
		c.Tenants = []tenant{{Name: "carrier-a", Keys: []string{}}}
	}
	acked, err := r.declare(c)
	if err != nil {
		return err
	}
	requests, err := r.probe(ctx, "key-a", "never-a-key", "")
	if err != nil {
		return err
	}
	return r.judgeKeys(requests, acked, func(s sent) (string, time.Duration) {
		switch s.key {
		case "key-a":
			return "its key was taken away", r.bounds.revoke
		case "never-a-key":
			return "no configuration ever had its key", 0
		}
		return "", 0
	})
}

// serviceName moves a route to a service and takes a key away, in one configuration. The name of the service is
// like that of an image. Without the disruption it has no colon.
func serviceName(ctx context.Context, r *rig) error {
	service := "checkin-app:v2"
	if !r.trouble {
		service = strings.ReplaceAll(service, ":", "-")
	}
	if err := r.startPlain("checkin-app", service); err != nil {
		return err
	}
	c := configuration{
		Version: 7, Routes: []platformtest.Route{seatRoute("checkin-app")}, Services: []platformtest.Service{plainService("checkin-app")},
		Tenants: []tenant{{Name: "carrier-a", Keys: []string{"key-a"}}, {Name: "carrier-b", Keys: []string{"key-b"}}}, Limits: limits,
	}
	if err := r.begin(ctx, c, "key-a", "key-b"); err != nil {
		return err
	}
	c.Version = 12
	c.Routes = []platformtest.Route{seatRoute(service)}
	c.Services = append(c.Services, plainService(service))
	c.Tenants = c.Tenants[:1]
	acked, err := r.declare(c)
	if err != nil {
		return err
	}
	requests, err := r.probe(ctx, "key-a", "key-b")
	if err != nil {
		return err
	}
	r.noteOldService(requests, acked, service)
	return r.judgeKeys(requests, acked, func(s sent) (string, time.Duration) {
		if s.key == "key-b" {
			return "its key was taken away", r.bounds.revoke
		}
		return "", 0
	})
}

// begin declares the first configuration, starts two nodes, and checks that requests with its keys run.
func (r *rig) begin(ctx context.Context, c configuration, keys ...string) error {
	if _, err := r.declare(c); err != nil {
		return err
	}
	if err := r.addNodes(2); err != nil {
		return err
	}
	if err := r.startNodes(ctx); err != nil {
		return err
	}
	for _, n := range r.nodes {
		caller := r.newCaller(n)
		for _, key := range keys {
			s, err := caller.send(ctx, fmt.Sprintf("before-%s-%s", n.name, key), "POST", "/seat/12a", key)
			if err != nil {
				return err
			}
			if s.status != 200 {
				return fmt.Errorf("request %s is not served before the change", s.id)
			}
		}
	}
	// The machines are in touch: they have run for longer than contactMs.
	return pause(ctx, 4*time.Second)
}

// probe sends requests with each of some keys to each node for a while.
func (r *rig) probe(ctx context.Context, keys ...string) ([]sent, error) {
	var out []sent
	callers := make([]*caller, 0, len(r.nodes))
	for _, n := range r.nodes {
		callers = append(callers, r.newCaller(n))
	}
	for end := time.Now().Add(probeTime); time.Now().Before(end); {
		for i, c := range callers {
			for _, key := range keys {
				s, err := c.send(ctx, fmt.Sprintf("r-%d-%d", len(out), i), "POST", "/seat/12a", key)
				if err != nil {
					return nil, err
				}
				out = append(out, s)
			}
		}
		if err := pause(ctx, probeEvery); err != nil {
			return nil, err
		}
	}
	return out, nil
}

// judgeKeys checks that no request ran that must not run; fault gives the reason, or nothing if it may run, and the
// time after the ack from which on it must not.
func (r *rig) judgeKeys(requests []sent, acked time.Time, fault func(sent) (why string, from time.Duration)) error {
	broken := 0
	for _, s := range requests {
		why, from := fault(s)
		after := s.at.Sub(acked)
		if why == "" || after <= from {
			continue
		}
		for _, run := range r.runs.RunsOf(s.id) {
			broken++
			r.note("request %s was sent %.3f s after the ack, %s, and ran at %s of %s for tenant %q", s.id, after.Seconds(), why, run.Replica, run.Service, run.Organisation())
		}
	}
	r.note("%d requests ran that must not", broken)
	if broken > 0 {
		return errBroken
	}
	return nil
}

// noteOldService records how many requests that were sent later than configApplyMs after the ack ran at another
// service than the route's.
func (r *rig) noteOldService(requests []sent, acked time.Time, service string) {
	old, runs := 0, 0
	for _, s := range requests {
		if s.at.Sub(acked) <= r.bounds.apply {
			continue
		}
		for _, run := range r.runs.RunsOf(s.id) {
			runs++
			if run.Service != service {
				old++
			}
		}
	}
	r.note("of %d runs of requests that were sent over %s after the ack, %d were at another service than %s", runs, r.bounds.apply, old, service)
}
