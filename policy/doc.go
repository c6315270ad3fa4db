// Package policy is what operators declare: organisations and groups, target
// pools, models, routes and request policies.
//
// [Parse] reads the versioned YAML format strictly and reports every fault at
// once, with file and line. [Compile] turns a valid [Config] into a [Snapshot],
// the immutable form that the decision packages read.
package policy
