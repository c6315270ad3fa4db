package node

import (
	"fmt"

	"github.com/pathhead/pathhead/event"
)

// maxInvalidLogged limits the invalid entries of the list that are remembered as logged, and those of a
// configuration that are logged; further ones are only counted.
const maxInvalidLogged = 256

// logInvalidEntries counts the invalid entries of a reading, and logs each entry once for as long
// as it stays invalid.
func (n *Node) logInvalidEntries(faulty []InvalidEntry) {
	n.Lock()
	logged := n.invalidEntries
	n.invalidEntries = make(map[InvalidEntry]bool, min(len(faulty), maxInvalidLogged))
	var fresh []InvalidEntry
	for _, f := range faulty {
		if len(n.invalidEntries) == maxInvalidLogged {
			break
		}
		if !logged[f] {
			fresh = append(fresh, f)
		}
		n.invalidEntries[f] = true
	}
	n.Unlock()
	for _, f := range faulty {
		n.counters.invalidEntry(f.Reason)
	}
	for _, f := range fresh {
		n.events.Record(event.Event{Code: event.TargetUnnamed, Detail: fmt.Sprintf("entry %.64q: %s", f.ID, f.Reason)})
	}
}
