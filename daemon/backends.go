package daemon

import (
	"context"
	"strconv"

	"wigeondale/backend"
	"wigeondale/directory"
	"wigeondale/fleet"
	"wigeondale/health"
	"wigeondale/intent"
	"wigeondale/routing"
	"wigeondale/settings"
)

func (n *node) buildBackends(set *settings.Settings) error {
	n.engines = backend.NewClient()
	n.engines.SetMisplaced(backend.NewMisplaced(n.log, n.set))
	n.dir = directory.New(n.log)
	n.mon = health.NewMonitor(policyOf(set.Policy), n.log, n.set)
	n.buildCutOff()
	peerReports{n.mesh, n.unlessCutOff}.connect(n.mon, n.dir, n.inv)
	n.buildPressure()
	n.drain = &drain{vm: set.Node.VM, notice: n.notice, log: n.log}
	lister := &vms{inv: n.inv, mesh: n.mesh, mon: n.mon, drain: n.drain}
	n.poller = directory.NewPoller(directory.PollConfig{
		Router:       n.id,
		SubsetSize:   set.Directory.Subset,
		Interval:     millis(set.Directory.LoadPollMS),
		ListInterval: listInterval,
		ListChanged:  n.inv.Changed(),
		CacheEvents:  routing.Uses(stepsOf(set.Routing), routing.ScorePrefix),
	}, n.dir, lister, loadReader{n.engines, n.mon})
	n.buildGuard(set)
	n.cancels = backend.NewCanceller(n.engines, backend.CancellerOptions{
		Incarnation: n.dir.Incarnation, Log: n.log, Metrics: n.set,
	})
	n.keeper.Subscribe(func(s *intent.State) {
		n.dir.SetIntent(leavingVMs(s))
		n.drain.setPlanned(s.Leaving(set.Node.VM))
	})
	return nil
}

func leavingVMs(s *intent.State) map[string]bool {
	out := map[string]bool{}
	for id, vm := range s.VMs {
		if vm.Leaving {
			out[id] = true
		}
	}
	return out
}

// policyOf returns the failure detector's policy: its default policy with the values that
// the settings define.
func policyOf(p settings.Policy) health.Policy {
	out := health.DefaultPolicy()
	out.ResumeLatencyWeight = p.ResumeLatencyWeight
	out.ExtraWorkWeight = p.ExtraWorkWeight
	out.MinSilence = millis(p.MinSuspectMS)
	out.MaxSilence = millis(p.MaxSuspectMS)
	out.FailuresPerHour = p.FailuresPerHour
	out.TailExponent = p.TailExponent
	out.PrefillBytesPerSecond = p.PrefillBytesPerSecond
	out.FixedTimeout = millis(p.FixedTimeoutMS)
	return out
}

// loadReader reads load reports and cache events from engines.
type loadReader struct {
	client *backend.Client
	mon    *health.Monitor
}

// Load reads an engine's load report. It passes the report's incarnation to the failure
// detector, which discards the failures of an earlier incarnation.
func (p loadReader) Load(ctx context.Context, b fleet.Backend) (fleet.LoadReport, error) {
	rep, err := p.client.Load(ctx, b)
	if err == nil {
		p.mon.SetIncarnation(b.ID, rep.Incarnation)
	}
	return rep, err
}

// CacheEvents reads the cache events after a sequence number. An event whose block
// can't be parsed is dropped, which only makes the prefix estimate less accurate.
func (p loadReader) CacheEvents(ctx context.Context, b fleet.Backend, after uint64) (directory.CacheBatch, error) {
	page, err := p.client.CacheEvents(ctx, b, after)
	if err != nil {
		return directory.CacheBatch{}, err
	}
	batch := directory.CacheBatch{Incarnation: page.Incarnation}
	for _, e := range page.Events {
		block, err := strconv.ParseUint(e.Block, 16, 64)
		if err != nil {
			continue
		}
		batch.Events = append(batch.Events, directory.CacheEvent{Seq: e.Seq, Stored: e.Type == "stored", Block: block})
	}
	return batch, nil
}
