package node

import (
	"fmt"

	"github.com/pathhead/pathhead/event"
)

// maxInvalidLogged bounds the entries of the list of which it is remembered that they were
// logged as faulty; those beyond it are counted alone.
const maxInvalidLogged = 256

// logInvalidEntries counts the entries of a reading that name no target, and logs each once for as
// long as its fault lasts.
func (n *Node) logInvalidEntries(faulty []InvalidEntry) {
	n.Lock()
	was := n.invalidEntries
	n.invalidEntries = make(map[InvalidEntry]bool, min(len(faulty), maxInvalidLogged))
	var fresh []InvalidEntry
	for _, f := range faulty {
		if len(n.invalidEntries) == maxInvalidLogged {
			break
		}
		if !was[f] {
			fresh = append(fresh, f)
		}
		n.invalidEntries[f] = true
	}
	n.Unlock()
	for _, f := range faulty {
		n.counters.invalidEntry(f.WriteBadRequest)
	}
	for _, f := range fresh {
		n.events.Record(event.Event{Code: event.TargetUnnamed, Detail: fmt.Sprintf("entry %.64q: %s", f.ID, f.WriteBadRequest)})
	}
}
