// Package peer implements the calls between pathhead's processes over net/rpc:
// gossip of their states, relays of large fleets, notices about requests, and
// the transfer of the configuration.
package peer
