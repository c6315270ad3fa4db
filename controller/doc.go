// Package controller implements the fleet process, which reconciles the weights
// loaded on the engines of each pool with the configuration.
//
// One process holds a pool's lease in the table and runs its planner; the
// others are on standby. Orders carry the lease's fencing token and are sent only
// if the lease remains valid for longer than an order may take.
package controller
