package hosted

import (
	"github.com/VictoriaMetrics/metrics"

	"wigeondale/backend"
)

// connectionMeters counts the connections to replicas that opened, and those that did not open
// or were lost. It implements backend.ConnObserver.
type connectionMeters struct {
	backend.ConnObserver // notified as well
	opened, failed       *metrics.Counter
}

func newConnectionMeters(next backend.ConnObserver, set *metrics.Set) *connectionMeters {
	return &connectionMeters{
		ConnObserver: next,

		opened: set.NewCounter(`wigeon_backend_connections_total{result="opened"}`),
		failed: set.NewCounter(`wigeon_backend_connections_total{result="failed"}`),
	}
}

// ConnOpened implements backend.ConnObserver.
func (c *connectionMeters) ConnOpened(addr string) {
	c.opened.Inc()
	c.ConnObserver.ConnOpened(addr)
}

// ConnFailed implements backend.ConnObserver.
func (c *connectionMeters) ConnFailed(addr string, err error) {
	c.failed.Inc()
	c.ConnObserver.ConnFailed(addr, err)
}
