// Package cutoff tests fleets of real nodes in one process, of which some are cut off from the targets.
package cutoff
