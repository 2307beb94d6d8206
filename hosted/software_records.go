package hosted

import (
	"context"
	"encoding/hex"
	"errors"
	"math"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"wigeondale/binding"
	"wigeondale/clock"
	"wigeondale/event"
	"wigeondale/fleet"
	"wigeondale/generation"
	"wigeondale/infra"
	"wigeondale/number"
	"wigeondale/platform"
)

// versionStore is the part of the store that holds what is known of the versions of streams.
type versionStore interface {
	noteStore
	Page(ctx context.Context, prefix, after string, stale bool) (infra.Page, error)
	Changes(ctx context.Context, prefix string, after fleet.Revision, wait time.Duration) ([]infra.WatchEvent, fleet.Revision, error)
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
// routers. They end with a lease that is not renewed.
type streamRecords struct {
	store    versionStore
	tracker  *binding.Tracker
	log      *event.Log
	lifetime func() time.Duration // the longest of any stream
	nodes    func() int           // registered nodes
	writes   atomic.Uint64        // bits of the store's limit of writes a second
	wake     chan struct{}

	lease     infra.Lease
	leasedAt  time.Duration
	leaseTime time.Duration

	written, failed *metrics.Counter
}

// interval returns the time between two writes of this router.
func (s *streamRecords) interval() time.Duration {
	writes := math.Float64frombits(s.writes.Load())
	return max(number.Duration(float64(s.nodes())/(recordShare*writes), time.Second), minRecordInterval)
}

func (s *streamRecords) setWrites(perSecond float64) { s.writes.Store(math.Float64bits(perSecond)) }

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
		if !errors.Is(err, infra.ErrUnavailable) {
			s.lease = infra.Lease{} // it may have ended
		}
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

// lookup reads what the store has of a stream. A record of a known version never changes, so an old one counts too. What the store
// states of the service counts only as it is now, and only for streams without a record.
func (s *software) lookup(ctx context.Context, service string, key binding.Key) (binding.Stored, error) {
	ctx, stop := context.WithTimeout(ctx, lookupTimeout)
	defer stop()
	if record, ok, err := s.readItem(ctx, streamKey(key), true); err == nil && ok && string(record.Data) != binding.UnknownVersion {
		return binding.Stored{Recorded: true, Version: string(record.Data)}, nil
	}
	record, ok, err := s.readItem(ctx, streamKey(key), false)
	if err != nil || ok || !s.statements.sole(service) {
		return binding.Stored{Recorded: ok, Version: string(record.Data)}, err
	}
	st, err := s.reads.get(ctx, service)
	version, sole := st.SoleVersion(st.Era)
	return binding.Stored{Sole: sole, Version: version}, err
}

// Began implements generation.StreamVersions.
func (s *software) Began(r *generation.Request, b fleet.Backend, version string) {
	if version == "" {
		version = binding.UnknownVersion
	}
	now := clock.SinceBoot()
	service := r.Opaque.Service
	keep := s.lifetime(service)
	if left := r.ClientTimeLeft(); left > 0 {
		keep = left + takeUpMargin
	}
	if r.BeganAs() != "" { // a stream without a name shares its key with others
		s.tracker.Began(keyOf(r), service, version, keep, now)
		s.records.began()
	}
	if s.tracker.Several(service, now) {
		s.began.Inc()
		s.log.Emit(event.StreamBegan, "request", r.ID, "began_as", r.BeganAs(), "service", service, "backend", b.ID, "software", version)
	}
}
