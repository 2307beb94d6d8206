package daemon

import (
	"errors"
	"net/http"
	"time"

	"wigeondale/listen"
	"wigeondale/settings"
)

// adminWrite is the time limit for writing one response on the admin and peer listeners.
const adminWrite = time.Minute

func (n *node) buildListeners(set *settings.Settings) error {
	open := func(l settings.Listener, h http.Handler, write time.Duration) (*listen.Server, error) {
		return listen.New(listen.Config{Listener: l, HeaderBytes: set.Limits.HeaderBytes, WriteTimeout: write}, h)
	}
	var errCaller, errAdmin, errPeer error
	n.caller, errCaller = open(set.Listen.Caller, n.callers, 0)
	n.admin, errAdmin = open(set.Listen.Admin, n.adminHandler(set), adminWrite)
	n.peers, errPeer = open(set.Listen.Peer, n.mesh, adminWrite)
	return errors.Join(errCaller, errAdmin, errPeer)
}

func (n *node) listeners() []*listen.Server { return []*listen.Server{n.caller, n.admin, n.peers} }

func (n *node) closeListeners() {
	for _, l := range n.listeners() {
		if l != nil {
			_ = l.Close()
		}
	}
}
