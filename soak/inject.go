package soak

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"
)

// fault is one kind of fault. inject starts the fault. It returns the function that ends
// the fault, or nil if there is nothing to end. A run calls the returned function after a
// random time, during which other faults are injected.
type fault struct {
	name   string
	inject func() (end func())
}

const (
	// faultGap is the mean time between two faults.
	faultGap = 250 * time.Millisecond
	// maxFaultTime bounds how long a fault lasts.
	maxFaultTime = 3 * time.Second
	// slowDelay is the delay that a slow link adds to each read and write.
	slowDelay = 150 * time.Millisecond
	slowLink  = `{"ms": 150}`
	fastLink  = `{"ms": 0}`
	// minReplicas is how many replicas of a service stay up, so that some can serve requests.
	minReplicas = 2
)

// processFaults returns the faults of a router's process. random picks the router that a
// fault affects.
func processFaults(random func() *process) []fault {
	return []fault{
		{"kill and restart", func() func() {
			p := random()
			p.kill()
			return p.restart
		}},
		{"terminate and restart", func() func() {
			p := random()
			p.signal(syscall.SIGTERM)
			return p.restart
		}},
		{"pause", func() func() {
			p := random()
			p.signal(syscall.SIGSTOP)
			return func() { p.signal(syscall.SIGCONT) }
		}},
		{"reload", func() func() {
			if p := random(); p.hasStarted() {
				p.signal(syscall.SIGHUP)
			}
			return nil
		}},
	}
}

// injectFaults injects random faults for the given length, then ends those that are still active.
func injectFaults(ctx context.Context, rng *rand.Rand, length time.Duration, all []fault, record func(string)) {
	type activeFault struct {
		endAt time.Time
		end   func()
	}
	var active []activeFault
	for deadline := time.Now().Add(length); time.Now().Before(deadline) && ctx.Err() == nil; {
		f := all[rng.IntN(len(all))]
		record(f.name)
		if end := f.inject(); end != nil {
			duration := time.Duration(rng.Int64N(int64(maxFaultTime)))
			active = append(active, activeFault{time.Now().Add(duration), end})
		}
		time.Sleep(time.Duration(rng.Int64N(2 * int64(faultGap))))
		remaining := active[:0]
		for _, d := range active {
			if time.Now().Before(d.endAt) {
				remaining = append(remaining, d)
				continue
			}
			d.end()
		}
		active = remaining
	}
	for _, d := range active {
		d.end()
	}
}
