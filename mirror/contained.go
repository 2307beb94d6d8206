package mirror

import (
	"fmt"
	"runtime/debug"

	"wigeondale/event"
	"wigeondale/infra"
)

// contained passes items on to a Receiver and outlives its panics: an item that ends one node
// would end all of them, again at each start.
type contained struct {
	out Receiver
	log *event.Log
}

// Put implements Receiver.
func (c contained) Put(v infra.Value) {
	defer c.outlive(v.Key)
	c.out.Put(v)
}

// Removed implements Receiver.
func (c contained) Removed(key string) {
	defer c.outlive(key)
	c.out.Removed(key)
}

// BatchDone implements Receiver.
func (c contained) BatchDone() {
	defer c.outlive("")
	c.out.BatchDone()
}

func (c contained) outlive(key string) {
	if p := recover(); p != nil {
		c.log.Emit(event.StoreItemFailed, "key", key, "err", fmt.Sprint(p), "stack", string(debug.Stack()))
	}
}
