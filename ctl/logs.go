package ctl

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"os"

	"github.com/zeebo/errs/v2"

	"github.com/pathhead/pathhead/event"
)

// maxLogLine is the maximum length of a line in a log, in bytes.
const maxLogLine = 1 << 20

// logLine is an event as written to a log.
type logLine struct {
	At       string     `json:"at"`
	Process  string     `json:"process"`
	Number   event.Code `json:"event"`
	Name     string     `json:"msg"`
	Request  string     `json:"request"`
	Attempt  string     `json:"attempt"`
	Org      string     `json:"organisation"`
	Route    string     `json:"route"`
	Tokens   int        `json:"tokens"`
	Target   string     `json:"target"`
	Revision int64      `json:"revision"`
	Detail   string     `json:"detail"`
}

// ReadLogs reads the events in processes' logs, which have one JSON object per
// line. Text before the object, such as the prefix of a log collector, is
// ignored, and so are lines without an event.
func ReadLogs(r io.Reader) ([]event.Event, error) {
	var out []event.Event
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLogLine)
	for lines.Scan() {
		if e, ok := parseLogLine(lines.Bytes()); ok {
			out = append(out, e)
		}
	}
	if err := lines.Err(); err != nil {
		return nil, errs.Errorf("log: %w", err)
	}
	return out, nil
}

// parseLogLine parses one line; ok is false if it is not an event.
func parseLogLine(text []byte) (e event.Event, ok bool) {
	begin := bytes.IndexByte(text, '{')
	if begin < 0 {
		return e, false
	}
	var l logLine
	if err := json.Unmarshal(text[begin:], &l); err != nil || l.Number == 0 {
		return e, false
	}
	stamp, err := event.ParseStamp(l.At)
	if err != nil {
		return e, false
	}
	return event.Event{
		Stamp: stamp, At: l.At, Process: l.Process, Code: l.Number, Name: l.Name, Request: l.Request,
		Attempt: l.Attempt, Org: l.Org, Route: l.Route, Tokens: l.Tokens, Target: l.Target, Revision: l.Revision, Detail: l.Detail,
	}, true
}

// logEvents reads the events that match a filter from files, merged in causal
// order; "-" is standard input.
func logEvents(files []string, f event.Filter) ([]event.Event, error) {
	var kept []event.Event
	for _, name := range files {
		events, err := readLogFile(name)
		if err != nil {
			return nil, err
		}
		for _, e := range events {
			if f.Match(e) {
				kept = append(kept, e)
			}
		}
	}
	return event.Merge(kept), nil
}

func readLogFile(name string) ([]event.Event, error) {
	if name == "-" {
		return ReadLogs(os.Stdin)
	}
	file, err := os.Open(name)
	if err != nil {
		return nil, errs.Errorf("log: %w", err)
	}
	defer file.Close()
	return ReadLogs(file)
}
