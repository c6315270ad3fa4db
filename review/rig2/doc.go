// Package rig2 plays the cases of the second review: it starts pathhead-node processes between stand-ins
// of the platform, disturbs them, and judges what callers, replicas and the store saw.
//
// It is built as a test program without tests (review/build-2.sh), which plays a case if its first argument is
// "play". It exits with 0 if the rule of the case held, 1 if it was broken, and 2 if the case could not run.
package rig2
