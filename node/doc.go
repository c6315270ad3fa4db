// Package node is the one process that runs on every VM of an installation: it
// answers callers, forwards their requests, follows the installation's store, and
// holds the duty of bringing targets to newly named weights by a lease.
//
// How the installation speaks is behind the ports of this package; what is
// decided is in packages route, fleet and policy.
package node
