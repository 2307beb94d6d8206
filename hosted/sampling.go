package hosted

import (
	"context"
	"math/bits"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"wigeondale/event"
	"wigeondale/fleet"
	"wigeondale/infra"
	"wigeondale/mirror"
	"wigeondale/platform"
	"wigeondale/sample"
)

const (
	// samplePlanKey is the key of the plan in the store that states which replicas of large
	// services all nodes know.
	samplePlanKey = "wigeondale/sample-plan"
	// planInterval is how often a reader of the store compares the plan with the fleet.
	planInterval = 500 * time.Millisecond
	// planTimeout bounds one write of the plan.
	planTimeout = time.Second
	// enlargeInterval is the least time between two enlargements of samples: the replicas that
	// are added to a sample are known to all nodes, and used, some seconds later.
	enlargeInterval = 10 * time.Second
)

// sampleFilter keeps the items that are needed under a plan: the entries of the sampled
// replicas, and all other items.
type sampleFilter struct {
	plan sample.Plan
	most int // largest number of halvings in the plan
}

func newSampleFilter(data []byte) (mirror.Filter, error) {
	plan, err := sample.Decode(data)
	if err != nil {
		return nil, err
	}
	f := sampleFilter{plan: plan}
	for _, halvings := range plan.Halvings {
		f.most = max(f.most, halvings)
	}
	return f, nil
}

// Keeps implements mirror.Filter. An entry that names no service is kept: it may replace the
// entry of a known replica, which then gets no new work.
func (f sampleFilter) Keeps(v infra.Value) bool {
	name, ok := platform.ReplicaID(v.Key)
	if !ok || bits.LeadingZeros64(xxhash.Sum64String(name)) >= f.most {
		return true
	}
	service, ok := platform.ReplicaService(v.Data)
	return !ok || f.plan.Includes(service, name)
}

// Within implements mirror.Filter.
func (f sampleFilter) Within(other mirror.Filter) bool {
	o, ok := other.(sampleFilter)
	return !ok || f.plan.Within(o.plan)
}

// planStore is the part of the store that a planner uses.
type planStore interface {
	Replace(ctx context.Context, key string, data []byte, revision fleet.Revision) (bool, error)
}

// planner maintains the sample plan in the store. Nodes that read the store write it: when
// they have read all replicas, and when the samples have become too small or too large.
type planner struct {
	store planStore
	log   *event.Log

	// changed is called after this node or another one has written the plan, so that this node
	// reads the plan before the changes that were made earlier.
	changed func()

	mu        sync.Mutex
	plan      sample.Plan
	revision  fleet.Revision // of the plan in the store; 0: there is none
	putAt     time.Time      // when this node got to know the plan
	nextLook  time.Time
	enlarging bool // a write of an enlarged plan is in progress
}

// put records the plan if the item is the plan.
func (p *planner) put(item infra.Value) bool {
	if p == nil || item.Key != samplePlanKey {
		return false
	}
	plan, err := sample.Decode(item.Data)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.revision != item.ModRev {
		p.putAt = time.Now()
	}
	p.revision = item.ModRev
	if err == nil {
		p.plan = plan
	}
	return true
}

// handleFullRead writes a first plan, or an adjusted one, after a read of the whole store.
func (p *planner) handleFullRead(ctx context.Context, items []infra.Value) {
	for _, item := range items {
		p.put(item)
	}
	p.mu.Lock()
	plan, revision := p.plan, p.revision
	p.mu.Unlock()
	all, sampled := map[string]int{}, map[string]int{}
	for _, item := range items {
		name, ok := platform.ReplicaID(item.Key)
		if !ok {
			continue
		}
		if service, ok := platform.ReplicaService(item.Data); ok {
			all[service]++
			if plan.Includes(service, name) {
				sampled[service]++
			}
		}
	}
	if revision == 0 {
		if first := sample.ForCounts(all); first.Samples() {
			p.write(ctx, first, 0)
		}
		return
	}
	p.adjust(ctx, plan, revision, sampled)
}

// look adjusts the plan if planInterval has passed since the last look. sampled returns the
// numbers of known replicas by service.
func (p *planner) look(now time.Time, sampled func() map[string]int) {
	p.mu.Lock()
	due := !now.Before(p.nextLook)
	if due {
		p.nextLook = now.Add(planInterval)
	}
	plan, revision := p.plan, p.revision
	p.mu.Unlock()
	if !due {
		return
	}
	go func() {
		ctx, stop := context.WithTimeout(context.Background(), planTimeout)
		defer stop()
		p.adjust(ctx, plan, revision, sampled())
	}()
}

func (p *planner) adjust(ctx context.Context, plan sample.Plan, revision fleet.Revision, sampled map[string]int) {
	if next, changed := plan.Adjusted(sampled); changed {
		p.write(ctx, next, revision)
	}
}

// enlarge makes the sample of a service larger, because a request found no room at the sampled
// replicas. It does nothing if the plan has changed within enlargeInterval.
func (p *planner) enlarge(service string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.enlarging || time.Since(p.putAt) < enlargeInterval {
		return
	}
	next, changed := p.plan.Enlarged(service)
	if !changed {
		return
	}
	p.enlarging = true
	revision := p.revision
	go func() {
		ctx, stop := context.WithTimeout(context.Background(), planTimeout)
		defer stop()
		p.write(ctx, next, revision)
		p.mu.Lock()
		defer p.mu.Unlock()
		p.enlarging, p.putAt = false, time.Now()
	}()
}

// write writes the plan unless another node has written one meanwhile. A failed write is made
// up for by another node, or at the next look.
func (p *planner) write(ctx context.Context, plan sample.Plan, revision fleet.Revision) {
	data, err := plan.Encode()
	if err != nil {
		return
	}
	written, err := p.store.Replace(ctx, samplePlanKey, data, revision)
	p.log.Emit(event.SamplePlanWritten, "halvings", plan.Halvings, "after", revision, "written", written, "err", err)
	if err == nil {
		p.changed()
	}
}
