package hosted

import (
	"context"
	"errors"
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
	// sharedReadTimeout bounds one read that requests share.
	sharedReadTimeout = time.Second
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
	r, err := readEither(ctx,
		func(ctx context.Context) (itemReply, error) { return s.readOwn(ctx, key, stale) },
		func(ctx context.Context, node string) (itemReply, error) {
			return peer.Call[itemQuery, itemReply](ctx, s.peers.currentMesh(), node, callItem, itemQuery{Key: key, Stale: stale})
		}, s.anyRouter)
	return r.Item, r.Exists, err
}

// readEither reads from the store, and through another router as soon as the store fails or is slow. It returns the first answer.
func readEither[T any](ctx context.Context, own func(context.Context) (T, error), through func(ctx context.Context, node string) (T, error),
	other func() (node string, ok bool)) (T, error) {
	type result struct {
		value T
		err   error
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	results, ownFailed := make(chan result, 2), make(chan struct{})
	go func() {
		v, err := own(ctx)
		if err != nil {
			close(ownFailed)
		}
		results <- result{v, err}
	}()
	go func() {
		var r result
		if r.err = waitToAsk(ctx, ownFailed); r.err == nil {
			node, ok := other()
			if ok {
				r.value, r.err = through(ctx, node)
			} else {
				r.err = errNoOtherRouter
			}
		}
		results <- r
	}()
	first := <-results
	if first.err == nil {
		return first.value, nil
	}
	second := <-results
	if second.err == nil {
		return second.value, nil
	}
	return second.value, errors.Join(first.err, second.err)
}

var errNoOtherRouter = Error.New("no other router to read from the store")

// waitToAsk waits until another router is to be asked.
func waitToAsk(ctx context.Context, ownFailed <-chan struct{}) error {
	slow := time.NewTimer(otherReadDelay)
	defer slow.Stop()
	select {
	case <-slow.C:
	case <-ownFailed:
	case <-ctx.Done():
	}
	return ctx.Err()
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

// sharedReads lets requests that arrive while a key is being read share the next read: each needs one that began after it
// arrived. It is safe for concurrent use.
type sharedReads[T any] struct {
	read func(ctx context.Context, key string) (T, error)

	mu   sync.Mutex
	next map[string]*sharedRead[T] // reads that have not begun, by key
	busy map[string]*sharedRead[T] // reads in progress
}

type sharedRead[T any] struct {
	done  chan struct{}
	value T
	err   error
}

func newSharedReads[T any](read func(ctx context.Context, key string) (T, error)) *sharedReads[T] {
	return &sharedReads[T]{read: read, next: map[string]*sharedRead[T]{}, busy: map[string]*sharedRead[T]{}}
}

// get returns what is read of a key after the call began.
func (s *sharedReads[T]) get(ctx context.Context, key string) (T, error) {
	s.mu.Lock()
	r := s.next[key]
	if r == nil {
		r = &sharedRead[T]{done: make(chan struct{})}
		s.next[key] = r
		if s.busy[key] == nil {
			s.begin(key)
		}
	}
	s.mu.Unlock()
	select {
	case <-r.done:
		return r.value, r.err
	case <-ctx.Done():
		var none T
		return none, ctx.Err()
	}
}

// begin begins the next read of a key. The caller holds mu.
func (s *sharedReads[T]) begin(key string) {
	r := s.next[key]
	s.busy[key] = r
	delete(s.next, key)
	if r == nil {
		delete(s.busy, key)
		return
	}
	go func() {
		ctx, stop := context.WithTimeout(context.Background(), sharedReadTimeout)
		defer stop()
		r.value, r.err = s.read(ctx, key)
		close(r.done)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.begin(key)
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
