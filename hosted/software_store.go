package hosted

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"wigeondale/binding"
	"wigeondale/clock"
	"wigeondale/event"
	"wigeondale/fleet"
	"wigeondale/infra"
	"wigeondale/platform"
)

// versionStore is the part of the store that holds what is known of the versions of streams.
type versionStore interface {
	noteStore
	Page(ctx context.Context, prefix, after string, stale bool) (infra.Page, error)
	Replace(ctx context.Context, key string, data []byte, revision fleet.Revision) (bool, error)
	PutAll(ctx context.Context, items []infra.Value, lease infra.Lease) error
	Grant(ctx context.Context, ttl time.Duration) (infra.Lease, error)
}

const (
	// streamPrefix starts the keys of the records of streams. It is outside the prefix that all routers
	// follow: a record is read only when its stream is taken up.
	streamPrefix = "wigeondale-streams/"
	// minRecordInterval is the least time between two writes of one router.
	minRecordInterval = 100 * time.Millisecond
	// recordShare is the share of the store's writes that the records of all routers together may take.
	recordShare = 0.2
	// recordWriteTimeout bounds one write; after failed ones the interval grows up to maxRecordInterval.
	recordWriteTimeout = time.Second
	maxRecordInterval  = 2 * time.Second
	// maxRecordLease is the longest lease that the store grants.
	maxRecordLease = 10 * time.Minute
	// lookupTimeout bounds the reads for one stream.
	lookupTimeout = 1500 * time.Millisecond
)

// streamRecords writes the records of this router's streams to the store, several in one call, so that they outlive all
// routers. They end with a lease, which nobody renews.
type streamRecords struct {
	store    versionStore
	tracker  *binding.Tracker
	log      *event.Log
	lifetime func() time.Duration // the longest of any stream
	nodes    func() int           // registered nodes
	writes   float64              // the store's limit of writes a second
	wake     chan struct{}

	lease     infra.Lease
	leasedAt  time.Duration
	leaseTime time.Duration

	written, failed *metrics.Counter
}

// interval returns the time between two writes of this router.
func (s *streamRecords) interval() time.Duration {
	share := time.Duration(float64(s.nodes()) / (recordShare * s.writes) * float64(time.Second))
	return max(share, minRecordInterval)
}

// began makes the next write happen as soon as the interval allows.
func (s *streamRecords) began() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// run writes records until ctx ends.
func (s *streamRecords) run(ctx context.Context) error {
	failures := 0
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.wake:
		case <-time.After(softwareTick):
		}
		pause, records := s.interval(), s.tracker.Unstored(platform.MaxTxnEntries, clock.SinceBoot())
		switch err := s.write(ctx, records); {
		case err == nil:
			failures = 0
		default:
			failures++
			s.failed.Inc()
			pause = min(pause<<min(failures, maxDoublings), max(pause, maxRecordInterval))
			s.log.Emit(event.StreamRecordsNotStored, "records", len(records), "failures", failures, "err", err)
		}
		if len(records) > 0 {
			clock.Sleep(ctx, pause)
		}
	}
}

func (s *streamRecords) write(ctx context.Context, records []binding.Record) error {
	if len(records) == 0 {
		return nil
	}
	ctx, stop := context.WithTimeout(ctx, recordWriteTimeout)
	defer stop()
	if err := s.ensureLease(ctx); err != nil {
		return err
	}
	items := make([]infra.Value, 0, len(records))
	for i := range records {
		items = append(items, infra.Value{Key: streamKey(records[i].Key), Data: []byte(records[i].Version)})
	}
	if err := s.store.PutAll(ctx, items, s.lease); err != nil {
		s.lease = infra.Lease{} // it may have ended
		return err
	}
	s.written.Add(len(records))
	s.tracker.RecordsStored(records)
	return nil
}

// ensureLease grants a lease that lasts for as long as a stream that begins now may be taken up.
func (s *streamRecords) ensureLease(ctx context.Context) error {
	now, keep := clock.SinceBoot(), s.lifetime()
	if s.lease.ID != 0 && now-s.leasedAt < s.leaseTime-min(keep, s.leaseTime/2) {
		return nil
	}
	ttl := min(2*keep, maxRecordLease)
	lease, err := s.store.Grant(ctx, ttl)
	if err != nil {
		return err
	}
	s.lease, s.leasedAt, s.leaseTime = lease, now, ttl
	return nil
}

func streamKey(k binding.Key) string { return streamPrefix + hex.EncodeToString(k[:]) }

// lookup reads what the store has of a stream. A record never changes, so an old one counts too. What the store
// states of the service counts only as it is now.
func (s *software) lookup(ctx context.Context, service string, key binding.Key) (binding.Stored, error) {
	ctx, stop := context.WithTimeout(ctx, lookupTimeout)
	defer stop()
	if record, ok, err := s.readItem(ctx, streamKey(key), true); err == nil && ok {
		return binding.Stored{Recorded: true, Version: string(record.Data)}, nil
	}
	if s.statements.sole(service) {
		item, ok, err := s.readItem(ctx, statementKey(service), false)
		if err != nil {
			return binding.Stored{}, err
		}
		if st, err := parseStatement(item.Data); ok && err == nil {
			if version, sole := st.SoleVersion(item.ModRev.Era()); sole {
				return binding.Stored{Sole: true, Version: version}, nil
			}
		}
	}
	record, ok, err := s.readItem(ctx, streamKey(key), false)
	return binding.Stored{Recorded: ok, Version: string(record.Data)}, err
}

// readItem reads one item of the store. Its revision is of the era of the answer.
func (s *software) readItem(ctx context.Context, key string, stale bool) (infra.Value, bool, error) {
	page, err := s.store.Page(ctx, key, "", stale)
	if err != nil {
		return infra.Value{}, false, err
	}
	for _, item := range page.Values {
		if item.Key == key {
			return item, true, nil
		}
	}
	return infra.Value{}, false, nil
}

// statementPrefix starts the keys of what the store states of the versions of a service; the service follows.
const statementPrefix = ownPrefix + "software/"

func statementKey(service string) string { return statementPrefix + service }

func parseStatement(data []byte) (st binding.Statement, err error) {
	err = json.Unmarshal(data, &st)
	return st, err
}

const (
	// statementRetry is the pause after the write of a statement, and statementStep how much longer each node waits than
	// the one before it in rank order.
	statementRetry = 600 * time.Millisecond
	statementStep  = 400 * time.Millisecond
)

// statements keeps the store's statements about the versions of services up to date.
type statements struct {
	store   versionStore
	tracker *binding.Tracker
	log     *event.Log

	mu     sync.Mutex
	stated map[string]statedItem
	due    map[string]*dueNote
}

type statedItem struct {
	binding.Statement
	revision fleet.Revision
}

// sole reports whether this router's copy of the store states a sole version of a service.
func (s *statements) sole(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stated[service].Sole
}

// put takes in a statement of the store. One that can't be read states nothing, and is replaced.
func (s *statements) put(item infra.Value) {
	service := strings.TrimPrefix(item.Key, statementPrefix)
	st, err := parseStatement(item.Data)
	if err != nil {
		s.log.Emit(event.ItemUnreadable, "key", item.Key, "revision", item.ModRev, "err", err)
		st = binding.Statement{}
	}
	s.mu.Lock()
	s.stated[service] = statedItem{st, item.ModRev}
	s.mu.Unlock()
	s.tracker.SetStatement(service, st, clock.SinceBoot())
}

func (s *statements) removed(key string) {
	service := strings.TrimPrefix(key, statementPrefix)
	s.mu.Lock()
	delete(s.stated, service)
	s.mu.Unlock()
	s.tracker.SetStatement(service, binding.Statement{}, clock.SinceBoot())
}

// update replaces the statement about a service if it is no longer right and that is the task of the node with the
// given rank.
func (s *statements) update(service string, rank func() int, now time.Duration) {
	next, due := s.tracker.NextStatement(service, now)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !due {
		delete(s.due, service)
		return
	}
	d := s.due[service]
	if d == nil {
		d = &dueNote{since: now, next: now}
		s.due[service] = d
	}
	if now < d.next {
		return
	}
	if r := rank(); r >= noteRanks || now-d.since < time.Duration(r)*statementStep {
		return
	}
	d.next = now + statementRetry
	go s.write(service, next, s.stated[service].revision)
}

func (s *statements) write(service string, st binding.Statement, over fleet.Revision) {
	ctx, stop := context.WithTimeout(context.Background(), noteTimeout)
	defer stop()
	data, err := json.Marshal(st)
	if err == nil {
		_, err = s.store.Replace(ctx, statementKey(service), data, over)
	}
	if err != nil {
		s.log.Emit(event.VersionNotStored, "key", statementKey(service), "remove", false, "err", err)
	}
}
