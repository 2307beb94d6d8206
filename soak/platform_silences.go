package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"wigeondale/clock"
	fakes "wigeondale/fakes/hosted"
)

const (
	silenceStream = 11
	// silenceGap is the mean time between the beginnings of two silences.
	silenceGap = 600 * time.Millisecond
	// A silence lasts from minSilence to usualSilence, one in longEvery up to maxSilence.
	minSilence   = 200 * time.Millisecond
	usualSilence = 1300 * time.Millisecond
	maxSilence   = 3 * time.Second
	longEvery    = 6
	// maxBetweenSilences bounds the time between two silences of the same replicas in a row.
	maxBetweenSilences = 400 * time.Millisecond
)

// retryBudget is the platform's bound on retries: a share of the requests, and a burst.
type retryBudget struct{ share, burst float64 }

var retryBudgets = []retryBudget{{0.8, 150}, {0.1, 12}}

// retryBudget draws the retry budget of a run.
func (c *Config) retryBudget() retryBudget {
	if c.NoSilences {
		return retryBudgets[0]
	}
	return retryBudgets[rand.New(rand.NewPCG(c.Seed, silenceStream+1)).IntN(len(retryBudgets))]
}

// silence is a silence of some replicas, or two in a row.
type silence struct {
	replicas   []*fakes.Replica
	lengths    []time.Duration
	between    time.Duration
	newVersion bool // of the configuration, at the moment at which the silence begins
}

// injectSilences makes replicas silent beside the other faults. It draws from a generator of its own, so that a
// seed draws the same other faults with and without silences.
func (r *platformRun) injectSilences(ctx context.Context) {
	rng := rand.New(rand.NewPCG(r.cfg.Seed, silenceStream))
	for deadline := time.Now().Add(r.cfg.FaultTime); time.Now().Before(deadline) && !r.stopped.Load(); {
		name, s := r.drawSilence(rng)
		r.history.add(fmt.Sprintf("%s silent for %v, new version %v", name, s.lengths, s.newVersion))
		r.silences.Go(func() { r.play(s) })
		if !clock.Sleep(ctx, time.Duration(rng.Int64N(2*int64(silenceGap)))) {
			return
		}
	}
}

// drawSilence draws a silence of a single replica, of a failure domain, or of all replicas of a service.
func (r *platformRun) drawSilence(rng *rand.Rand) (name string, s silence) {
	service, domain := []string{"llm", "app"}[rng.IntN(2)], rng.IntN(2)
	all := r.servingReplicas(service)
	switch one := all[rng.IntN(len(all))]; rng.IntN(6) {
	case 0:
		name, s.replicas = service, all
	case 1:
		name, s.replicas = fmt.Sprintf("%s in d%d", service, domain), r.replicasInDomain(service, domain)
	default:
		name, s.replicas = one.ID, []*fakes.Replica{one}
	}
	for range 1 + rng.IntN(4)/3 {
		longest := usualSilence
		if rng.IntN(longEvery) == 0 {
			longest = maxSilence
		}
		s.lengths = append(s.lengths, minSilence+time.Duration(rng.Int64N(int64(longest-minSilence))))
	}
	s.between = time.Duration(rng.Int64N(int64(maxBetweenSilences)))
	s.newVersion = rng.IntN(3) == 0
	return name, s
}

func (r *platformRun) play(s silence) {
	for i, length := range s.lengths {
		var ends []func()
		for _, rep := range s.replicas {
			ends = append(ends, r.silence(rep))
		}
		if s.newVersion && i == 0 {
			r.configure()
		}
		time.Sleep(length)
		for _, end := range ends {
			end()
		}
		time.Sleep(s.between)
	}
}

// silence makes a replica silent until the returned function is called.
func (r *platformRun) silence(rep *fakes.Replica) (end func()) {
	// What the replica holds back arrives late, as over harmed links.
	silent, harmed := r.checks.ends.silences.begin(rep), r.checks.asks.harmed.begin(rep.ID)
	rep.Freeze()
	return func() {
		rep.Thaw()
		silent()
		harmed()
	}
}
