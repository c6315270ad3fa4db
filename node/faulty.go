package node

import (
	"fmt"

	"github.com/pathhead/pathhead/event"
)

// maxFaultyNoted bounds the entries of the list of which it is remembered that they were
// logged as faulty; those beyond it are counted alone.
const maxFaultyNoted = 256

// noteFaulty counts the entries of a reading that name no target, and logs each once for as
// long as its fault lasts.
func (n *Node) noteFaulty(faulty []FaultyEntry) {
	n.Lock()
	was := n.faulty
	n.faulty = make(map[FaultyEntry]bool, min(len(faulty), maxFaultyNoted))
	var fresh []FaultyEntry
	for _, f := range faulty {
		if len(n.faulty) == maxFaultyNoted {
			break
		}
		if !was[f] {
			fresh = append(fresh, f)
		}
		n.faulty[f] = true
	}
	n.Unlock()
	for _, f := range faulty {
		n.counters.faultyEntry(f.Fault)
	}
	for _, f := range fresh {
		n.events.Record(event.Event{Code: event.TargetUnnamed, Detail: fmt.Sprintf("entry %.64q: %s", f.ID, f.Fault)})
	}
}
