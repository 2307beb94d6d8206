package cost

import (
	"math"
	"time"
)

// Stats is how good the estimates were. An answer is compared with the estimate that its request
// would have got just before its end.
type Stats struct {
	Answers  int     // answers that were compared
	Above80  int     // answers above the 80% quantile; a good estimate has a fifth
	Tokens   float64 // sum of their lengths
	AbsError float64 // sum of the differences between length and mean
	Nodes    int

	sweptAt time.Time
}

// Stats returns how good the estimates were since the start.
func (e *Estimator) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.stats
	s.Nodes = len(e.nodes)
	return s
}

func (e *Estimator) count(q *Request, length float64, now time.Time) {
	d, ok := e.estimate(q, now)
	if !ok {
		return
	}
	mean, _ := d.Moments()
	e.stats.Answers++
	e.stats.Tokens += length
	e.stats.AbsError += math.Abs(length - mean)
	if length > d.Quantile(0.8) {
		e.stats.Above80++
	}
}
