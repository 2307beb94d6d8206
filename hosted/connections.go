package hosted

import (
	"github.com/VictoriaMetrics/metrics"
)

// connectionMeters counts the connections to replicas that opened, and those that did not open
// or were lost. It implements backend.ConnObserver.
type connectionMeters struct {
	opened, failed *metrics.Counter
}

func newConnectionMeters(set *metrics.Set) *connectionMeters {
	return &connectionMeters{
		opened: set.NewCounter(`wigeon_backend_connections_total{result="opened"}`),
		failed: set.NewCounter(`wigeon_backend_connections_total{result="failed"}`),
	}
}

// ConnOpened implements backend.ConnObserver.
func (c *connectionMeters) ConnOpened(string) { c.opened.Inc() }

// ConnFailed implements backend.ConnObserver.
func (c *connectionMeters) ConnFailed(string, error) { c.failed.Inc() }
