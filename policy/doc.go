// Package policy defines the declared configuration: organisations and groups, target pools,
// models, routes and request policies.
//
// [Parse] reads the versioned YAML format strictly and reports all errors at once, with file and
// line. [Compile] turns a valid [Config] into a [Snapshot], the immutable form that the decision
// packages read.
package policy
