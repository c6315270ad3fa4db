package ctl

import (
	"context"
	"fmt"
	"net/netip"
	"os"

	"github.com/zeebo/errs/v2"

	"github.com/pathhead/pathhead/event"
)

// Timeline prints the events of all reachable processes in causal order; extra
// are the addresses of targets that record events too. If log files are given,
// they are read instead of querying processes.
func (t *Tool) Timeline(ctx context.Context, f event.Filter, extra []netip.AddrPort, logs []string) error {
	events, failures, err := t.collectEvents(ctx, f, extra, logs)
	if err != nil {
		return err
	}
	if t.output == OutputJSON {
		t.printJSON(events)
		return nil
	}
	for _, err := range failures {
		fmt.Fprintln(os.Stderr, "warning: a process is missing from the timeline:", err)
	}
	return t.printTable("TIME\tPROCESS\tEVENT\tREQUEST\tATTEMPT\tTARGET\tDETAIL", func(row func(string, ...any)) {
		for _, e := range events {
			row("%s\t%s\t%d %s\t%s\t%s\t%s\t%s", e.Stamp.Time.Format("15:04:05.000000"), e.Process, e.Code, e.Name, e.Request, e.Attempt, e.Target, e.Detail)
		}
	})
}

// collectEvents reads events from logs, or from the processes if no log is given.
func (t *Tool) collectEvents(ctx context.Context, f event.Filter, extra []netip.AddrPort, logs []string) ([]event.Event, []error, error) {
	if len(logs) > 0 {
		events, err := logEvents(logs, f)
		return events, nil, err
	}
	events, failures := t.fetchEvents(ctx, f, extra)
	return events, failures, nil
}

// fetchEvents fetches the events that match the filter from every process.
func (t *Tool) fetchEvents(ctx context.Context, f event.Filter, extra []netip.AddrPort) (merged []event.Event, failures []error) {
	doors := extra
	for _, p := range t.discoverProcesses(ctx) {
		if p.err != nil {
			failures = append(failures, p.err)
			continue
		}
		doors = append(doors, p.door)
	}
	var lists [][]event.Event
	for _, door := range doors {
		var list []event.Event
		if err := t.getJSON(ctx, door, "/v1/events?"+f.Query().Encode(), &list); err != nil {
			failures = append(failures, err)
			continue
		}
		lists = append(lists, list)
	}
	return event.Merge(lists...), failures
}

// Explain prints the events of one request, which show why it was placed as it
// was and how it ended. If log files are given, they are read instead of
// querying processes.
func (t *Tool) Explain(ctx context.Context, request string, logs []string) error {
	events, _, err := t.collectEvents(ctx, event.Filter{Request: request}, nil, logs)
	if err != nil {
		return err
	}
	if len(events) == 0 {
		return errs.Errorf("no event of request %s was found at any reachable process or in the given logs", request)
	}
	if t.output == OutputJSON {
		t.printJSON(events)
		return nil
	}
	for _, e := range events {
		fmt.Fprintf(t.out, "%s  %-18s %-18s %s %s\n", e.Stamp.Time.Format("15:04:05.000"), e.Process, e.Name, e.Target, e.Detail)
	}
	return nil
}
