package hosted

import (
	"context"
	"errors"

	"wigeondale/backend"
	"wigeondale/directory"
	"wigeondale/generation"
	"wigeondale/health"
	"wigeondale/platform"
)

// watcher reports how attempts begin to the failure detector.
type watcher struct {
	*health.Monitor
	dir *directory.Directory
}

// Watch implements generation.Watcher.
func (w watcher) Watch(id string, promptBytes int, cancel context.CancelCauseFunc) generation.Watch {
	return w.Monitor.Watch(id, promptBytes, cancel)
}

// Result implements generation.Watcher. A refusal shows that the replica
// lives, unless another one has its address.
func (w watcher) Result(id string, err error) {
	refused, ok := errors.AsType[*backend.Refused](err)
	if !ok {
		w.Monitor.Result(id, err)
		return
	}
	if refused.Code == platform.CodeElsewhere {
		w.dir.MarkLeaving(id, "", directory.FromRefusal)
		return
	}
	w.Monitor.Result(id, nil)
}
