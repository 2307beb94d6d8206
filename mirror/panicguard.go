package mirror

import (
	"fmt"
	"runtime/debug"

	"github.com/VictoriaMetrics/metrics"

	"wigeondale/event"
	"wigeondale/infra"
)

// panicGuard passes items on to a Receiver and recovers from the Receiver's panics.
// Otherwise an item that makes the Receiver panic would stop every node, and stop it
// again after each start.
type panicGuard struct {
	out    Receiver
	log    *event.Log
	failed *metrics.Counter
}

// Put implements Receiver.
func (g panicGuard) Put(v infra.Value) {
	defer g.recoverPanic(v.Key)
	g.out.Put(v)
}

// Removed implements Receiver.
func (g panicGuard) Removed(key string) {
	defer g.recoverPanic(key)
	g.out.Removed(key)
}

// Dropped implements Receiver.
func (g panicGuard) Dropped(key string) {
	defer g.recoverPanic(key)
	g.out.Dropped(key)
}

// BatchDone implements Receiver.
func (g panicGuard) BatchDone() {
	defer g.recoverPanic("")
	g.out.BatchDone()
}

func (g panicGuard) recoverPanic(key string) {
	if p := recover(); p != nil {
		g.failed.Inc()
		g.log.Emit(event.StoreItemFailed, "key", key, "err", fmt.Sprint(p), "stack", string(debug.Stack()))
	}
}
