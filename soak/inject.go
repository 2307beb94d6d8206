package soak

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"
)

// fault is one kind of trouble. It returns what ends it, or nil; the end is due
// after a random time, and other faults come meanwhile.
type fault struct {
	name string
	do   func() (end func())
}

const (
	// faultGap is the mean time between two faults.
	faultGap = 250 * time.Millisecond
	// faultLife bounds how long one lasts.
	faultLife = 3 * time.Second
	// slowBy is what a slow link adds to each read and write.
	slowBy   = 150 * time.Millisecond
	slowLink = `{"ms": 150}`
	fastLink = `{"ms": 0}`
	// minReplicas of a service stay up, so that requests have somewhere to go.
	minReplicas = 2
)

// processFaults are those of one router's process, drawn by any.
func processFaults(any func() *process) []fault {
	return []fault{
		{"kill and restart", func() func() {
			p := any()
			p.kill()
			return p.restart
		}},
		{"terminate and restart", func() func() {
			p := any()
			p.signal(syscall.SIGTERM)
			return p.restart
		}},
		{"pause", func() func() {
			p := any()
			p.signal(syscall.SIGSTOP)
			return func() { p.signal(syscall.SIGCONT) }
		}},
		{"reload", func() func() {
			if p := any(); p.hasStarted() {
				p.signal(syscall.SIGHUP)
			}
			return nil
		}},
	}
}

// injectFaults draws faults until the time is over, and ends them all.
func injectFaults(ctx context.Context, rng *rand.Rand, length time.Duration, all []fault, note func(string)) {
	type due struct {
		at  time.Time
		end func()
	}
	var open []due
	for over := time.Now().Add(length); time.Now().Before(over) && ctx.Err() == nil; {
		f := all[rng.IntN(len(all))]
		note(f.name)
		if end := f.do(); end != nil {
			life := time.Duration(rng.Int64N(int64(faultLife)))
			open = append(open, due{time.Now().Add(life), end})
		}
		time.Sleep(time.Duration(rng.Int64N(2 * int64(faultGap))))
		still := open[:0]
		for _, d := range open {
			if time.Now().Before(d.at) {
				still = append(still, d)
				continue
			}
			d.end()
		}
		open = still
	}
	for _, d := range open {
		d.end()
	}
}
