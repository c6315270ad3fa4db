// Package controller is the fleet process: it keeps the engines of each pool
// matched to the declaration.
//
// One process holds a pool's lease in the table and runs its planner; the
// others stand by. Orders carry the lease's fencing number, and are sent only
// while the lease lasts longer than an order may take.
package controller
