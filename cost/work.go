package cost

import (
	"sync"
	"time"
)

const (
	// Bounds of the work of a request in units of an ordinary request of its service. A time that a
	// single fault made long must not keep other requests away from a backend server.
	minWork, maxWork = 0.25, 8
	// maxRoutes bounds the routes whose times are kept.
	maxRoutes = 1024
)

// Work learns the work of requests to services that are not model engines: the time of an answer on
// a route, in units of the mean time of the service. It is safe for concurrent use.
type Work struct {
	mu    sync.Mutex
	times map[[2]string]*fadingMean // by service and route; the route "" is the whole service
}

type fadingMean struct {
	weight, mean float64
	at           time.Time
}

func (m *fadingMean) add(v float64, now time.Time) {
	m.weight = m.weight*fadeFactor(now.Sub(m.at))*(1-1.0/memory) + 1
	m.mean += (v - m.mean) / m.weight
	m.at = now
}

// Observe records the time of an answer.
func (w *Work) Observe(service, route string, took time.Duration, now time.Time) {
	if took <= 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, k := range [][2]string{{service, ""}, {service, route}} {
		m := w.times[k]
		if m == nil && len(w.times) >= maxRoutes {
			continue
		}
		if m == nil {
			if w.times == nil {
				w.times = map[[2]string]*fadingMean{}
			}
			m = &fadingMean{}
			w.times[k] = m
		}
		m.add(took.Seconds(), now)
	}
}

// Of returns the work of a request in units of an ordinary request: 1 as long as nothing is known.
func (w *Work) Of(service, route string, now time.Time) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	all, own := w.times[[2]string{service, ""}], w.times[[2]string{service, route}]
	if all == nil || own == nil || all.mean <= 0 {
		return 1
	}
	weight := own.weight * fadeFactor(now.Sub(own.at))
	share := weight / (weight + shrink)
	return min(max(1+share*(own.mean/all.mean-1), minWork), maxWork)
}
