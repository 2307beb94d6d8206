package hosted

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"wigeondale/admission"
	"wigeondale/clock"
	"wigeondale/fleet"
	"wigeondale/generation"
	"wigeondale/routing"
)

// versionList divides a list of replicas by software version.
type versionList struct {
	of      []routing.Candidate
	names   []string       // of the versions, in order
	usable  map[string]int // number of replicas that are not leaving, by version
	assumed bool           // a replica's version is not from its own entry

	mu        sync.Mutex
	confirmed map[string][]routing.Candidate // replicas whose own entries state the version, once asked for
	without   map[string][]routing.Candidate // lists without some versions, by the joined names of these
}

func newVersionList(of []routing.Candidate) *versionList {
	l := &versionList{of: of, usable: map[string]int{}, confirmed: map[string][]routing.Candidate{}, without: map[string][]routing.Candidate{}}
	for i := range of {
		b := of[i].Backend
		if _, known := l.usable[b.Version]; !known {
			l.names = append(l.names, b.Version)
			l.usable[b.Version] = 0
		}
		if !b.Leaving {
			l.usable[b.Version]++
		}
		l.assumed = l.assumed || b.VersionAssumed
	}
	slices.Sort(l.names)
	return l
}

// version returns the replicas whose own entries state a version.
func (l *versionList) version(name string) []routing.Candidate {
	if !l.assumed && len(l.names) == 1 && l.names[0] == name {
		return l.of
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	out, ok := l.confirmed[name]
	if !ok {
		out = slices.DeleteFunc(slices.Clone(l.of), func(c routing.Candidate) bool { return c.Backend.Version != name || c.Backend.VersionAssumed })
		l.confirmed[name] = out
	}
	return out
}

// except returns the replicas of all versions but some.
func (l *versionList) except(versions []string) []routing.Candidate {
	if len(versions) == 0 {
		return l.of
	}
	key := strings.Join(versions, "\x00")
	l.mu.Lock()
	defer l.mu.Unlock()
	out, ok := l.without[key]
	if !ok {
		out = slices.DeleteFunc(slices.Clone(l.of), func(c routing.Candidate) bool { return slices.Contains(versions, c.Backend.Version) })
		l.without[key] = out
	}
	return out
}

// keptLists is how many lists are kept divided at most. A service has up to three in use at a time:
// all replicas, those allowed by a roll-out and those on trial.
const keptLists = 12

// listUnused is the time without a use after which a divided list is dropped. It holds all replicas
// of a state of the fleet in memory.
const listUnused = time.Second

// versionLists keeps the lists in use divided, so that each list is divided once.
type versionLists struct {
	mu   sync.Mutex
	kept []keptList // in the order of their additions
}

type keptList struct {
	list *versionList
	used time.Duration // when it was used last, since the start of the machine
}

// of returns a list divided by version. Lists are never modified.
func (s *versionLists) of(list []routing.Candidate) *versionList {
	now := clock.SinceBoot()
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.kept {
		if k := &s.kept[i]; sameList(k.list.of, list) {
			k.used = now
			return k.list
		}
	}
	l := newVersionList(list)
	s.kept = slices.DeleteFunc(s.kept, func(k keptList) bool { return now-k.used > listUnused })
	if len(s.kept) == keptLists {
		s.kept = slices.Delete(s.kept, 0, 1)
	}
	s.kept = append(s.kept, keptList{list: l, used: now})
	return l
}

// minLasting is the number of replicas that a version needs so that streams begin there, if another
// version has as many: after the loss of the last replica, its streams can't go on.
const minLasting = 2

// beginnable returns the replicas among which a new stream may begin. It leaves out versions that
// other routers may not know yet, and those that will not last, unless nothing remains.
func (p *picker) beginnable(a generation.PickRequest, among []routing.Candidate) []routing.Candidate {
	if !a.Stream || p.software == nil {
		return among
	}
	l := p.software.lists.of(among)
	if among = l.except(p.excluded(a.Service, l)); len(among) < len(l.of) {
		l = p.software.lists.of(among)
	}
	if len(l.names) < 2 {
		return among
	}
	out := p.without(l, func(v string) bool { return !p.software.tracker.MayBegin(a.Service, v, clock.SinceBoot()) })
	if len(out) < len(among) {
		l = p.software.lists.of(out)
	}
	return p.without(l, func(v string) bool { return l.usable[v] < minLasting || p.boundWaitFor(a.Service, v) })
}

// excluded returns the versions at which no stream may begin yet, even if no other version is left: a router that starts would
// take its streams for those of another version.
func (p *picker) excluded(service string, l *versionList) []string {
	var out []string
	for _, v := range l.names {
		if p.software.tracker.Excluded(service, v) {
			out = append(out, v)
		}
	}
	return out
}

// without returns the replicas of all versions but the unsuitable ones, or all if all are
// unsuitable.
func (p *picker) without(l *versionList, unsuitable func(version string) bool) []routing.Candidate {
	var out []string
	for _, v := range l.names {
		if unsuitable(v) {
			out = append(out, v)
		}
	}
	if len(out) == 0 || len(out) == len(l.names) {
		return l.of
	}
	return l.except(out)
}

// boundReplicas returns the replicas at which a stream that has begun may go on.
func (p *picker) boundReplicas(service string, b *generation.Binding) []routing.Candidate {
	if b.Unknown || p.versionBarred(service, b.Version) {
		return nil
	}
	return p.software.lists.of(p.dir.Service(service)).version(b.Version)
}

// versionBarred reports whether a version was rolled back.
func (p *picker) versionBarred(service, version string) bool {
	ro := p.rollouts.of(service)
	if ro == nil {
		return false
	}
	rule := ro.Rule()
	return rule.RolledBack(version)
}

// mayGoOn reports whether a stream may go on at a replica.
func (p *picker) mayGoOn(a generation.PickRequest, b *fleet.Backend) bool {
	if a.Binding == nil {
		return p.allowed(b.ID)
	}
	return !a.Binding.Unknown && b.Version == a.Binding.Version && !b.VersionAssumed && !p.versionBarred(b.Service, b.Version)
}

// boundQueues holds the queues of the streams that may go to one version only, by version. A stream
// that waits for room at its version does not hold up requests that may go to any.
type boundQueues struct {
	mu        sync.Mutex
	byVersion map[string]*admission.WaitQueue
}

func (q *boundQueues) of(version string, sharing admission.Sharing) *admission.WaitQueue {
	q.mu.Lock()
	defer q.mu.Unlock()
	w := q.byVersion[version]
	if w == nil {
		w = admission.NewSharedWaitQueue(sharing)
		if q.byVersion == nil {
			q.byVersion = map[string]*admission.WaitQueue{}
		}
		q.byVersion[version] = w
	}
	return w
}

// all returns the queues of all versions.
func (q *boundQueues) all() []*admission.WaitQueue {
	q.mu.Lock()
	defer q.mu.Unlock()
	return slices.Collect(maps.Values(q.byVersion))
}

// waitsFor reports whether streams wait for room at a version.
func (q *boundQueues) waitsFor(version string, now time.Time) bool {
	q.mu.Lock()
	w := q.byVersion[version]
	q.mu.Unlock()
	return w != nil && w.Waiting(now)
}

// boundWaitFor reports whether streams that may go to one version only wait for room there. They go
// before streams that may begin elsewhere.
func (p *picker) boundWaitFor(service, version string) bool {
	return p.queues.of(service).bound.waitsFor(version, time.Now())
}

// waiting returns the queue in which a request waits.
func (p *picker) waiting(q *queue, a generation.PickRequest) *admission.WaitQueue {
	if a.Binding == nil || p.software == nil || len(p.software.lists.of(p.dir.Service(a.Service)).names) < 2 {
		return q.waitQueue
	}
	return q.bound.of(a.Binding.Version, q.sharing)
}
