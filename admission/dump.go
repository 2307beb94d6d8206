package admission

import "time"

// PoolDump is the state of one pool.
type PoolDump struct {
	Capacity    int           `json:"capacity"`
	Running     int           `json:"running"`
	Waiting     int           `json:"waiting"`
	MeanService time.Duration `json:"mean_service_ns"`
}

// AccountDump is the state of one client account.
type AccountDump struct {
	Running  int     `json:"running"`
	Waiting  int     `json:"waiting"`
	Tokens   float64 `json:"tokens"`
	Rate     float64 `json:"tokens_per_second"`
	Fraction float64 `json:"fraction_of_limit"`
	Demand   float64 `json:"demand_tokens_per_second"`
}

// Dump is the state of a Controller.
type Dump struct {
	Pools    map[string]PoolDump    `json:"pools"`
	Accounts map[string]AccountDump `json:"accounts"`
}

// Dump returns the current state, for a state dump on request.
func (c *Controller) Dump() Dump {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	out := Dump{Pools: map[string]PoolDump{}, Accounts: map[string]AccountDump{}}
	for name, p := range c.pools {
		out.Pools[name] = PoolDump{
			Capacity:    c.cfg.capacity(name),
			Running:     p.running,
			Waiting:     p.waiting(),
			MeanService: p.meanService(),
		}
	}
	for id, a := range c.accounts {
		out.Accounts[id] = AccountDump{
			Running:  a.running,
			Waiting:  a.waiting,
			Tokens:   a.tokens.level,
			Rate:     a.rate(),
			Fraction: a.fraction,
			Demand:   a.demand.perSecond(now, c.cfg.DemandHalfLife),
		}
	}
	return out
}

// meanService returns the mean service time over both priorities, weighted by the numbers of
// requests that run now; it returns 0 if none runs.
func (p *pool) meanService() time.Duration {
	if p.running == 0 {
		return 0
	}
	var sum float64
	for _, l := range p.load {
		sum += l.mean * float64(l.running)
	}
	return time.Duration(sum / float64(p.running) * float64(time.Second))
}
