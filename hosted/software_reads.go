package hosted

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"wigeondale/binding"
	"wigeondale/infra"
	"wigeondale/peer"
)

const (
	callItem = "hosted.item"
	// otherReadDelay is how long a read waits for the store before another router is asked to make it too: this router may be the
	// only one that the store doesn't answer.
	otherReadDelay = 250 * time.Millisecond
	// statementTimeout bounds one read of a statement.
	statementTimeout = time.Second
)

// itemQuery asks another router to read an item of the store that concerns the versions of streams.
type itemQuery struct {
	Key   string `cbor:"1,keyasint"`
	Stale bool   `cbor:"2,keyasint,omitempty"`
}

// itemReply is an item of the store, if it exists.
type itemReply struct {
	Exists bool        `cbor:"1,keyasint,omitempty"`
	Item   infra.Value `cbor:"2,keyasint"`
}

// readItem reads one item of the store, if the store is slow or away also through another router. Its revision is of the era of the
// answer.
func (s *software) readItem(ctx context.Context, key string, stale bool) (infra.Value, bool, error) {
	type result struct {
		itemReply
		err error
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	own, other := make(chan result, 1), make(chan result, 1)
	go func() {
		r, err := s.readOwn(ctx, key, stale)
		own <- result{r, err}
	}()
	askOther := time.NewTimer(otherReadDelay)
	defer askOther.Stop()
	pending := 1
	var failed error
	ask := func() {
		pending++
		go func() {
			r, err := s.readThroughOther(ctx, itemQuery{Key: key, Stale: stale})
			other <- result{r, err}
		}()
	}
	for pending > 0 {
		var r result
		select {
		case <-askOther.C:
			ask()
			continue
		case r = <-own:
			if r.err != nil && askOther.Stop() {
				ask()
			}
		case r = <-other:
		}
		if r.err == nil {
			return r.Item, r.Exists, nil
		}
		pending--
		failed = r.err
	}
	return infra.Value{}, false, failed
}

func (s *software) readOwn(ctx context.Context, key string, stale bool) (itemReply, error) {
	page, err := s.store.Page(ctx, key, "", stale)
	if err != nil {
		return itemReply{}, err
	}
	for _, item := range page.Values {
		if item.Key == key {
			return itemReply{Exists: true, Item: item}, nil
		}
	}
	return itemReply{}, nil
}

func (s *software) readThroughOther(ctx context.Context, q itemQuery) (itemReply, error) {
	others := s.routers()
	if len(others) == 0 {
		return itemReply{}, Error.New("no other router to read from the store")
	}
	return peer.Call[itemQuery, itemReply](ctx, s.peers.currentMesh(), others[rand.IntN(len(others))].ID, callItem, q)
}

// statementReads lets requests that arrive while a statement is being read share the next read: each needs one that began after it
// arrived. It is safe for concurrent use.
type statementReads struct {
	read func(ctx context.Context, service string) (binding.Statement, error)

	mu   sync.Mutex
	next map[string]*statementRead // reads that have not begun, by service
	busy map[string]*statementRead // reads in progress
}

type statementRead struct {
	done      chan struct{}
	statement binding.Statement
	err       error
}

// get returns the statement about a service as it is in the store after the call began.
func (s *statementReads) get(ctx context.Context, service string) (binding.Statement, error) {
	s.mu.Lock()
	r := s.next[service]
	if r == nil {
		r = &statementRead{done: make(chan struct{})}
		s.next[service] = r
		if s.busy[service] == nil {
			s.begin(service)
		}
	}
	s.mu.Unlock()
	select {
	case <-r.done:
		return r.statement, r.err
	case <-ctx.Done():
		return binding.Statement{}, ctx.Err()
	}
}

// begin begins the next read of a service. The caller holds mu.
func (s *statementReads) begin(service string) {
	r := s.next[service]
	s.busy[service] = r
	delete(s.next, service)
	if r == nil {
		delete(s.busy, service)
		return
	}
	go func() {
		ctx, stop := context.WithTimeout(context.Background(), statementTimeout)
		defer stop()
		r.statement, r.err = s.read(ctx, service)
		close(r.done)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.begin(service)
	}()
}

// readStatement reads the statement about a service. One of an earlier era is none.
func (s *software) readStatement(ctx context.Context, service string) (binding.Statement, error) {
	item, ok, err := s.readItem(ctx, statementKey(service), false)
	if err != nil || !ok {
		return binding.Statement{}, err
	}
	st, err := parseStatement(item.Data)
	if err != nil || st.Era != item.ModRev.Era() {
		return binding.Statement{}, nil // it is replaced
	}
	return st, nil
}
