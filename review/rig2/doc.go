// Command rig2 plays the cases of the second review: it starts pathhead-node processes between stand-ins
// of the platform, disturbs them, and judges what callers, replicas and the store saw.
//
// It exits with 0 if the rule of the case held, 1 if it was broken, and 2 if the case could not run.
package main
