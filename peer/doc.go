// Package peer carries what pathhead's processes tell each other: gossip of
// their states over net/rpc, and the configuration that a peer serves under.
package peer
