// Package drill plays the cases of the review. It runs stand-ins of the platform, starts pathhead-node with
// the command of the deploy file, and checks one rule from what callers and replicas see. It is built as a
// test program (review/build.sh) and has no tests of its own.
//
// Usage: review-drill CASE FOLDER. It writes FOLDER/record.txt, and exits with 1 if the rule was broken, 0 if
// it held, and 2 if the case could not run. The environment TROUBLE=0 leaves the disruption out.
package drill
