package hosted

import (
	"bytes"
	"encoding/json"
	"net/http"
	"time"

	"wigeondale/bounded"
	"wigeondale/listen"
	"wigeondale/platform"
	"wigeondale/relay"
)

func (n *node) listen(r *relay.Relay) error {
	limits := n.set.Limits
	open := func(name, addr string, conns int, h http.Handler) (*listen.Server, error) {
		cfg := n.peers.listener
		cfg.Name, cfg.Address, cfg.MaxConns = name, addr, conns
		if name == frontListener {
			cfg.ClientLimits, cfg.Answers, cfg.SparePlaces = n.clientLimits, n.answers, limits.SecondConns()
			cfg.Requests = bounded.NewPool(limits.RequestsBytes(), "requests", n.meter)
		} else {
			cfg.WriteTimeout = operatorWrite
		}
		return listen.New(cfg, h)
	}
	n.peers.listener = listen.Config{
		HeaderBytes: limits.HeaderBytes, ReceiveBytes: limits.ReceiveBytes(), Log: n.log, Metrics: n.meter,
		Requests: bounded.NewPool(limits.OperatorBytes(), "operator_requests", n.meter),
	}
	var err error
	if n.front, err = open(frontListener, n.set.Hosted.FrontAddress, limits.ClientConns(false), &platform.ClientHandler{Relay: r, Table: n.table, Stop: n.stop}); err != nil {
		return err
	}
	if n.ready, err = open("readiness", n.set.Hosted.ReadinessAddress, limits.OperatorConns(), platform.ReadinessHandler{Ready: n.readiness}); err != nil {
		return err
	}
	n.stats, err = open("metrics", n.set.Hosted.MetricsAddress, limits.OperatorConns(), n.inspection())
	return err
}

const frontListener = "front"

// operatorWrite is the time limit for writing one answer to a readiness check or an operator.
const operatorWrite = time.Minute

// clientLimits returns what the configuration in force allows clients.
func (n *node) clientLimits() listen.ClientLimits {
	t := n.table.Get()
	if t == nil {
		return listen.ClientLimits{}
	}
	return listen.ClientLimits{HeaderBytes: t.Limits.HeaderBytes, HeaderTimeout: t.Limits.HeaderTimeout, IdleTimeout: t.Limits.IdleTimeout}
}

// inspection returns the handler for metrics and the state dump.
func (n *node) inspection() http.Handler {
	n.dumps.Add("settings", func() any { return json.RawMessage(n.settings.InForce().Printable()) })
	n.dumps.Add("settings_file", func() any { return n.settings.State() })
	n.dumps.Add("table", func() any { return n.tableState() })
	n.dumps.Add("store", func() any { return n.storeSync.state() })
	n.dumps.Add("backends", func() any { return n.dir.Dump() })
	n.dumps.Add("health", func() any { return n.mon.Dump() })
	n.dumps.Add("rollouts", func() any { return n.rollouts.state() })
	n.dumps.Add("software", func() any { return n.software.state() })
	n.dumps.Add("reach", func() any { return n.cutOff.state(time.Now(), n.forwarder.Open()) })
	n.dumps.Add("quarantine", func() any { return n.guard.List() })
	n.dumps.Add("quarantine_parts", func() any { return n.guard.ListParts() })
	n.dumps.Add("waiting_routers", func() any { return n.order.state(time.Now()) })
	n.dumps.Add("peers", func() any { return n.peers.state() })
	mux := http.NewServeMux()
	mux.Handle("GET /debug/dump", &n.dumps)
	mux.HandleFunc("GET /", func(w http.ResponseWriter, r *http.Request) {
		var page bytes.Buffer
		n.meter.WritePrometheus(&page)
		listen.WriteHeld(w, r, page.Bytes())
	})
	return mux
}
