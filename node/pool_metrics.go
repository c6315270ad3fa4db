package node

import "fmt"

// updatePoolMetrics copies the joint demand for the pools into the metrics.
func (n *Node) updatePoolMetrics() {
	n.Lock()
	defer n.Unlock()
	for _, s := range n.Board().PoolStatuses(n.now()) {
		n.metrics.GetOrCreateGauge(fmt.Sprintf("pathhead_pool_backlog_seconds{pool=%q}", s.Pool), nil).Set(s.Backlog.Seconds())
		n.metrics.GetOrCreateCounter(fmt.Sprintf("pathhead_pool_returns_total{pool=%q,when=%q}", s.Pool, "told")).Set(uint64(s.ReturnsKept))
		n.metrics.GetOrCreateCounter(fmt.Sprintf("pathhead_pool_returns_total{pool=%q,when=%q}", s.Pool, "early")).Set(uint64(s.ReturnsEarly))
		for priority, share := range s.Admitted {
			n.metrics.GetOrCreateGauge(fmt.Sprintf("pathhead_pool_admitted_share{pool=%q,priority=\"%d\"}", s.Pool, priority), nil).Set(share)
		}
		for priority, refused := range s.Refused {
			n.metrics.GetOrCreateCounter(fmt.Sprintf("pathhead_pool_refused_total{pool=%q,priority=\"%d\"}", s.Pool, priority)).Set(uint64(refused))
		}
	}
}
