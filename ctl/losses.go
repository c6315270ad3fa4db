package ctl

import (
	"cmp"
	"fmt"
	"maps"
	"math/bits"
	"slices"
	"strings"
	"time"

	"github.com/zeebo/errs/v2"

	"github.com/pathhead/pathhead/event"
)

// Loss is a request that was refused, answered late or not answered to the end.
type Loss struct {
	Request string `json:"request"`
	Cause   string `json:"cause"`
	Org     string `json:"organisation"`
	// Route is the name of the request's route, Tokens the length of its prompt.
	Route   string    `json:"route"`
	Tokens  int       `json:"tokens"`
	Process string    `json:"process"`
	Target  string    `json:"target"`
	At      time.Time `json:"at"`
}

// The causes of late answers. Refusals and unfinished answers have the cause in
// the error that the caller received.
const (
	lateRetried = "late: sent again after a failure"
	lateAtNode  = "late: waited at the node"
	lateTarget  = "late: at the target"
	lateUnknown = "late"
)

// Losses returns the losses among events, in the order in which the requests
// ended. Logs contain all events of each such request.
func Losses(events []event.Event) []Loss {
	var out []Loss
	attempts := make(map[string]int)
	targets := make(map[string]string)
	for _, e := range event.Merge(events) {
		switch e.Code {
		case event.RequestPlaced:
			attempts[e.Request]++
			targets[e.Request] = e.Target
		case event.RequestRefused:
			out = append(out, newLoss(e, "refused: "+refusalCause(e.Detail), targets))
		case event.AnswerUnfinished:
			out = append(out, newLoss(e, "unfinished: "+refusalCause(e.Detail), targets))
		case event.RequestLate:
			out = append(out, newLoss(e, lateCause(e.Detail, attempts[e.Request]), targets))
		}
	}
	return out
}

func newLoss(e event.Event, cause string, targets map[string]string) Loss {
	return Loss{
		Request: e.Request, Cause: cause, Org: e.Org, Route: e.Route, Tokens: e.Tokens,
		Process: e.Process, Target: targets[e.Request], At: e.Stamp.Time,
	}
}

// refusalCause returns the cause, which is the first part of a refusal's detail.
func refusalCause(detail string) string {
	cause, _, _ := strings.Cut(detail, ",")
	return cause
}

// lateCause returns where the time of a late answer was spent: in a retry, at
// the node before the request was sent, or at the target.
func lateCause(detail string, attempts int) string {
	l, err := event.ParseLateness(detail)
	switch {
	case err != nil:
		return lateUnknown
	case attempts > 1:
		return lateRetried
	case l.Sent > l.First-l.Sent:
		return lateAtNode
	}
	return lateTarget
}

// LossesBy returns the names of the fields that losses can be grouped by.
func LossesBy() []string { return slices.Sorted(maps.Keys(lossGroups)) }

// byCause groups losses by their cause alone.
const byCause = "cause"

var lossGroups = map[string]func(Loss) string{
	byCause:        func(Loss) string { return "" },
	"organisation": func(l Loss) string { return l.Org },
	"route":        func(l Loss) string { return l.Route },
	"size":         func(l Loss) string { return sizeClass(l.Tokens) },
	"process":      func(l Loss) string { return l.Process },
	"target":       func(l Loss) string { return l.Target },
	"second":       func(l Loss) string { return l.At.Format("15:04:05") },
}

// sizeClass returns the power of two below which a prompt's length lies.
func sizeClass(tokens int) string {
	if tokens <= 0 {
		return "no prompt"
	}
	return fmt.Sprintf("under %d tokens", 1<<bits.Len(uint(tokens)))
}

// Losses reads logs and prints the number of losses, grouped by cause and by one
// of [LossesBy], highest first.
func (t *Tool) Losses(logs []string, by string) error {
	group, ok := lossGroups[by]
	if !ok {
		return errs.Errorf("losses cannot be grouped by %q, only by %s", by, strings.Join(LossesBy(), ", "))
	}
	events, err := logEvents(logs, event.Filter{})
	if err != nil {
		return err
	}
	losses := Losses(events)
	if t.output == OutputJSON {
		t.printJSON(losses)
		return nil
	}
	type key struct{ cause, group string }
	counts := make(map[key]int)
	for _, l := range losses {
		counts[key{l.Cause, group(l)}]++
	}
	keys := slices.SortedFunc(maps.Keys(counts), func(a, b key) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(a.cause, b.cause), cmp.Compare(a.group, b.group))
	})
	head := "REQUESTS\tCAUSE"
	if by != byCause {
		head += "\t" + strings.ToUpper(by)
	}
	return t.printTable(head, func(row func(string, ...any)) {
		for _, k := range keys {
			row("%d\t%s\t%s", counts[k], k.cause, k.group)
		}
	})
}
