package daemon

import (
	"errors"
	"net/http"
	"time"

	"wigeondale/bounded"
	"wigeondale/listen"
	"wigeondale/settings"
)

const callerListener = "caller"

// adminWrite is the time limit for writing one response on the admin and peer listeners.
const adminWrite = time.Minute

func (n *node) buildListeners(set *settings.Settings) error {
	operators := bounded.NewPool(set.Limits.OperatorBytes(), "operator_requests", n.set)
	open := func(name string, l settings.Listener, conns int, h http.Handler, write time.Duration) (*listen.Server, error) {
		cfg := listen.Config{
			Listener: l, Name: name, HeaderBytes: set.Limits.HeaderBytes, WriteTimeout: write,
			MaxConns: conns, ReceiveBytes: set.Limits.ReceiveBytes(), Requests: operators, Log: n.log, Metrics: n.set,
		}
		if name == callerListener {
			cfg.Answers, cfg.Requests = n.answers, bounded.NewPool(set.Limits.RequestsBytes(), "requests", n.set)
			cfg.SparePlaces = set.Limits.SecondConns()
		}
		return listen.New(cfg, h)
	}
	var errCaller, errAdmin, errPeer error
	n.caller, errCaller = open(callerListener, set.Listen.Caller, set.Limits.ClientConns(set.Listen.Caller.TLS != nil), n.callers, 0)
	n.admin, errAdmin = open("admin", set.Listen.Admin, set.Limits.OperatorConns(), n.adminHandler(set), adminWrite)
	n.peers, errPeer = open("peer", set.Listen.Peer, set.Limits.PeerConns(), n.mesh, adminWrite)
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
