// Package node implements the process that runs on every VM of an installation. It answers callers,
// forwards their requests to targets, follows the installation's store and, while it holds a lease,
// orders targets to load newly named weights.
//
// The interfaces in ports.go hide the installation's protocols. The decisions are made in packages
// route, fleet and policy.
package node
