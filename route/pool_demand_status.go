package route

import (
	"maps"
	"time"
)

// PoolStatus describes the joint demand for a pool to operators.
type PoolStatus struct {
	Pool string
	// Backlog is the predicted mean wait of a new request over the pool.
	Backlog   time.Duration
	Saturated bool
	// Admitted is the part of the demand of each priority that all routers admit while the pool is
	// saturated, and Refused how many requests this router refused for that.
	Admitted map[int]float64
	Refused  map[int]int
	// ReturnsKept and ReturnsEarly count the requests that returned when they were told to, and
	// earlier.
	ReturnsKept, ReturnsEarly int
}

// PoolStatuses returns the status of each pool whose capacity is divided jointly.
func (b *Board) PoolStatuses(now time.Time) []PoolStatus {
	var out []PoolStatus
	for name, p := range b.pools {
		if p.urgentAim == 0 || b.disabled.Has(JointAdmission) {
			continue
		}
		j := &p.joint
		out = append(out, PoolStatus{
			Pool: name, Backlog: b.loadOf(now, p).wait, Saturated: b.saturated(now, p),
			Admitted: b.admittedParts(now, p), Refused: maps.Clone(j.refused),
			ReturnsKept: j.returnsKept, ReturnsEarly: j.returnsEarly,
		})
	}
	return out
}

// admittedParts returns the admitted part of the demand of each priority.
func (b *Board) admittedParts(now time.Time, p *pool) map[int]float64 {
	asked, admitted := make(map[int]float64), make(map[int]float64)
	for key, rate := range p.joint.joint(now) {
		share := 1.0
		if b.saturated(now, p) {
			share = min(1, b.shareOf(now, p, key))
		}
		asked[key.priority] += rate
		admitted[key.priority] += rate * share
	}
	for priority := range admitted {
		admitted[priority] /= max(asked[priority], minPoolDemand)
	}
	return admitted
}
