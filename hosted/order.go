package hosted

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"wigeondale/admission"
	"wigeondale/generation"
	"wigeondale/schedule"
)

// This file connects the queues of this router with package schedule, which decides the order of waiting requests.

const (
	// chunkTokens is the number of tokens that one chunk of an answer is assumed to have, since chunks aren't parsed. It only
	// weighs answers against prompts when the cost of a request is settled, equally for all client accounts.
	chunkTokens = 6
	// maxDumpAccounts is how many client accounts the dump lists for each service.
	maxDumpAccounts = 20
)

// itemOf returns the waiting request as package schedule orders it.
func (p *picker) itemOf(a generation.PickRequest, now time.Time) schedule.Item {
	it := schedule.Item{
		ID: a.RequestID, Stage: schedule.New, Priority: a.Urgency, Account: a.Account, FirstTry: now.Add(-a.SinceFirstTry),
	}
	if startedAnswer(a) {
		it.Stage = schedule.Started
	}
	prompt, answer := p.boundedTokensOf(a)
	it.Cost, it.Unservable = float64(prompt+answer), p.tooLarge(a)
	return it
}

// boundedTokensOf is tokensOf, but each number is at most what an engine can hold: clients state any size.
func (p *picker) boundedTokensOf(a generation.PickRequest) (prompt, answer int) {
	prompt, answer = tokensOf(a)
	if c := p.capacity(a.Service); c > 0 {
		prompt, answer = min(prompt, c), min(answer, c)
	}
	return prompt, max(answer, 0)
}

// tooLarge reports whether a request needs more memory than an engine has.
func (p *picker) tooLarge(a generation.PickRequest) bool {
	c := p.capacity(a.Service)
	return c > 0 && p.sizeOf(a).memory() > c
}

// chargedShare settles the charge of a client account when its attempt ends.
type chargedShare struct {
	generation.LoadShare
	charge *admission.Charge
	prompt int
	cost   float64 // 0 until the attempt is known to have run
}

// charged returns a share that settles the charge, or s if there is no charge.
func (p *picker) charged(s generation.LoadShare, c *admission.Charge, a generation.PickRequest) generation.LoadShare {
	if c == nil {
		return s
	}
	prompt, _ := p.boundedTokensOf(a)
	return &chargedShare{LoadShare: s, charge: c, prompt: prompt}
}

// SetCost implements generation.CostShare.
func (s *chargedShare) SetCost(chunks int) { s.cost = float64(s.prompt + chunks*chunkTokens) }

// End implements generation.LoadShare.
func (s *chargedShare) End() {
	s.LoadShare.End()
	s.charge.Settle(s.cost)
}

// chargeDirect charges a request that goes to a replica with its copy or prompt without waiting.
func (p *picker) chargeDirect(s generation.LoadShare, a generation.PickRequest) generation.LoadShare {
	now := time.Now()
	p.waits.granted(a)
	return p.charged(s, p.queues.of(a.Service).waitQueue.Charge(p.itemOf(a, now), now), a)
}

// all returns the queues by service.
func (q *queues) all() map[string]*queue {
	q.mu.Lock()
	defer q.mu.Unlock()
	out := make(map[string]*queue, len(q.byService))
	for service, sq := range q.byService {
		out[service] = sq
	}
	return out
}

// items returns the waiting requests of a service, those bound to a version last.
func (q *queue) items(now time.Time) []*schedule.Item {
	var out []*schedule.Item
	for _, w := range append([]*admission.WaitQueue{q.waitQueue}, q.bound.all()...) {
		items := w.Items(now)
		for i := range items {
			out = append(out, &items[i])
		}
	}
	return out
}

// waitingSummary returns for each service and priority how many requests wait at this router.
func (q *queues) waitingSummary(now time.Time) []schedule.Waiting {
	var out []schedule.Waiting
	for service, sq := range q.all() {
		out = append(out, schedule.Summarize(service, sq.items(now), now)...)
	}
	slices.SortFunc(out, func(a, b schedule.Waiting) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Priority, b.Priority))
	})
	return out
}

// waitingState is the section waiting of the state dump.
type waitingState struct {
	Waiting  []schedule.Waiting
	Accounts map[string][]accountState // by service; at most maxDumpAccounts each
}

// accountState is what waits for one client account, and what it has used.
type accountState struct {
	Account  string
	Priority int
	Waiting  int
	// Used is what the account has used, in tokens, beyond the account that was served last; 0 if client
	// accounts are not distinguished.
	Used float64
}

func (q *queues) state(now time.Time) waitingState {
	out := waitingState{Waiting: q.waitingSummary(now), Accounts: map[string][]accountState{}}
	for service, sq := range q.all() {
		type key struct {
			account  string
			priority int
		}
		by := map[key]int{}
		for _, it := range sq.items(now) {
			by[key{it.Account, it.Priority}]++
		}
		var list []accountState
		for k, n := range by {
			list = append(list, accountState{k.account, k.priority, n, sq.waitQueue.Used(k.priority, k.account, now)})
		}
		slices.SortFunc(list, func(a, b accountState) int {
			return cmp.Or(cmp.Compare(b.Waiting, a.Waiting), cmp.Compare(a.Account, b.Account), cmp.Compare(a.Priority, b.Priority))
		})
		out.Accounts[service] = list[:min(len(list), maxDumpAccounts)]
	}
	return out
}

// waitMeters counts grants and refusals of requests for engines.
type waitMeters struct{ set *metrics.Set }

func newWaitMeters(set *metrics.Set) *waitMeters { return &waitMeters{set} }

func labels(a generation.PickRequest) string {
	return fmt.Sprintf(`{service=%q,priority="%d"}`, a.Service, schedule.Priority(a.Urgency))
}

func (m *waitMeters) granted(a generation.PickRequest) {
	m.set.GetOrCreateCounter("wigeon_queue_grants_total" + labels(a)).Inc()
}

func (m *waitMeters) refused(a generation.PickRequest, overShare bool) {
	m.set.GetOrCreateCounter("wigeon_queue_refusals_total" + labels(a)).Inc()
	if overShare {
		m.set.GetOrCreateCounter("wigeon_queue_over_share_refusals_total" + labels(a)).Inc()
	}
}

// waits registers the gauge of the waiting requests of a's service and priority.
func (m *waitMeters) waits(a generation.PickRequest, q *queue) {
	priority := schedule.Priority(a.Urgency)
	m.set.GetOrCreateGauge("wigeon_queue_waiting"+labels(a), func() float64 {
		n := 0
		for _, it := range q.items(time.Now()) {
			if it.Priority == priority {
				n++
			}
		}
		return float64(n)
	})
}

// connectOrder applies the settings of the order to a picker, and shows its queues in metrics and state dump.
func (n *node) connectOrder(p *picker) {
	p.queues.sharing = admission.Sharing(n.set.Hosted.Decisions.Sharing)
	p.waits = newWaitMeters(n.meter)
	n.dumps.Add("waiting", func() any { return p.queues.state(time.Now()) })
}
