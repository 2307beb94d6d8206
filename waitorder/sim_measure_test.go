package waitorder

import (
	"slices"
	"time"
)

func (s *sim) measure() {
	var waiting [2]bool
	for _, r := range s.rs {
		if r.dead {
			continue
		}
		for p := range r.queues {
			waiting[p] = waiting[p] || (len(r.queues[p]) > 0 && s.now-r.queues[p][0].at > 20)
		}
	}
	for p := range waiting {
		if !waiting[p] {
			s.lastOf[p] = s.now
		}
		if s.now > 2000 {
			s.starve(p)
		}
	}
	if (waiting[0] || waiting[1]) && s.now > 2000 {
		n := 0
		for _, f := range s.free {
			n += f
		}
		s.idleSum += float64(n) / float64(len(s.free)*s.slots)
		s.idleMS++
	}
}

func (s *sim) finish() {
	s.res.idle = s.idleSum / float64(max(s.idleMS, 1))
	for _, r := range s.rs {
		b := float64(r.sent) / float64(s.seconds)
		s.res.bytes += b / float64(len(s.rs))
		s.res.bytesMax = max(s.res.bytesMax, b)
	}
	if len(s.waits) == 0 {
		return
	}
	slices.Sort(s.waits)
	sum := 0
	for _, w := range s.waits {
		sum += w
	}
	s.res.urgentWait = time.Duration(sum/len(s.waits)) * time.Millisecond
	s.res.p95Wait = time.Duration(s.waits[len(s.waits)*95/100]) * time.Millisecond
}

// link links all routers to each other, or each router to about six others.
func (s *sim) link() {
	n := len(s.rs)
	for i, r := range s.rs {
		if n <= 24 {
			for j := range n {
				if j != i {
					r.links = append(r.links, j)
				}
			}
			continue
		}
		for len(r.links) < 3 { // three of its own and about three of others
			j := s.rnd.IntN(n)
			if j != i && !slices.Contains(r.links, j) && !slices.Contains(s.rs[j].links, i) {
				r.links = append(r.links, j)
			}
		}
	}
	if n <= 24 {
		return
	}
	own := make([][]int, n)
	for i, r := range s.rs {
		own[i] = slices.Clone(r.links)
	}
	for i := range own {
		for _, j := range own[i] {
			s.rs[j].links = append(s.rs[j].links, i)
		}
	}
}
