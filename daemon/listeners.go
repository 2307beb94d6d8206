package daemon

import (
	"errors"
	"net/http"
	"time"

	"wigeondale/listen"
	"wigeondale/settings"
)

// adminWrite bounds one answer of the admin and peer listeners.
const adminWrite = time.Minute

func (n *node) buildListeners(set *settings.Settings) error {
	open := func(l settings.Listener, h http.Handler, write time.Duration) (*listen.Server, error) {
		return listen.New(listen.Config{Listener: l, HeaderBytes: set.Limits.HeaderBytes, WriteTimeout: write}, h)
	}
	var err1, err2, err3 error
	n.caller, err1 = open(set.Listen.Caller, n.callers, 0)
	n.admin, err2 = open(set.Listen.Admin, n.adminHandler(set), adminWrite)
	n.peers, err3 = open(set.Listen.Peer, n.mesh, adminWrite)
	return errors.Join(err1, err2, err3)
}

func (n *node) listeners() []*listen.Server { return []*listen.Server{n.caller, n.admin, n.peers} }

func (n *node) closeListeners() {
	for _, l := range n.listeners() {
		if l != nil {
			_ = l.Close()
		}
	}
}
