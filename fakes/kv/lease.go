package kv

import "time"

// lease deletes its keys when it has not been kept alive for its time to live.
type lease struct {
	id    int64
	ttl   time.Duration
	timer *time.Timer
	keys  map[string]struct{}
}

func (s *store) grant(id int64, ttl time.Duration) *leaseResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	if id == 0 {
		s.nextLease++
		id = s.nextLease
	}
	l := &lease{id: id, ttl: ttl, keys: make(map[string]struct{})}
	l.timer = time.AfterFunc(ttl, func() { s.expire(l) })
	s.leases[id] = l
	return &leaseResponse{Header: s.header(), ID: Int(id), TTL: Int(ttl / time.Second)}
}

func (s *store) keepAlive(id int64) *leaseResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		return &leaseResponse{Header: s.header(), ID: Int(id)}
	}
	l.timer.Reset(l.ttl)
	return &leaseResponse{Header: s.header(), ID: Int(id), TTL: Int(l.ttl / time.Second)}
}

func (s *store) revoke(id int64) (*leaseResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		return nil, errNoLease
	}
	s.deleteLease(l)
	return &leaseResponse{Header: s.header()}, nil
}

func (s *store) expire(l *lease) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[l.id] == l {
		s.deleteLease(l)
	}
}

// deleteLease deletes a lease and, in a single revision, its keys.
func (s *store) deleteLease(l *lease) {
	l.timer.Stop()
	keys := l.keys
	l.keys = nil
	delete(s.leases, l.id)
	if len(keys) == 0 {
		return
	}
	revision := s.revision + 1
	for k := range keys {
		s.applyDelete(&deleteRequest{Key: []byte(k)}, revision)
	}
	s.commit(revision)
}

func (s *store) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.leases {
		l.timer.Stop()
	}
}
