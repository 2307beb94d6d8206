package hosted

import (
	"context"
	"errors"

	"wigeondale/binding"
	"wigeondale/clock"
	"wigeondale/event"
	"wigeondale/generation"
)

// This file finds out where the stream began that a client takes up.

func keyOf(r *generation.Request) binding.Key {
	return binding.NewKey(r.Opaque.Service, r.Account, r.BeganAs())
}

// Find implements generation.StreamVersions.
func (s *software) Find(ctx context.Context, r *generation.Request) (generation.Binding, error) {
	service := r.Opaque.Service
	if !s.tracker.Knows(service) {
		s.tick(clock.SinceBoot()) // this node has just started
	}
	f, err := s.find(ctx, r)
	e := s.tracker.Evidence(service, clock.SinceBoot())
	if err != nil {
		err = Error.New("%w (versions %q, list followed for %d ms, list age %d ms, last tick %d ms ago)", err, e.Versions, e.Followed.Milliseconds(),
			e.ListAge.Milliseconds(), e.TickAge.Milliseconds())
		return generation.Binding{}, &generation.Unavailable{Code: generation.CodeVersionUnknown, RetryAfter: unknownRetry, Err: err}
	}
	s.found.Inc()
	s.log.Emit(event.StreamVersionFound, "request", r.ID, "began_as", r.BeganAs(), "service", service,
		"software", f.Version, "source", string(f.Source), "age_ms", f.Age.Milliseconds(),
		"versions", e.Versions, "followed_ms", e.Followed.Milliseconds(), "list_age_ms", e.ListAge.Milliseconds(),
		"tick_age_ms", e.TickAge.Milliseconds(), "named", f.Named)
	return generation.Binding{Version: f.Version}, nil
}

func (s *software) find(ctx context.Context, r *generation.Request) (binding.Found, error) {
	f, err := s.findVersion(ctx, r)
	if err != nil || f.Recorded() {
		return f, err
	}
	return f, s.checkConfig(ctx, r)
}

func (s *software) findVersion(ctx context.Context, r *generation.Request) (binding.Found, error) {
	if r.BeganAs() == "" {
		return s.tracker.FindUnnamed(ctx, r.Opaque.Service, clock.SinceBoot())
	}
	return s.tracker.Find(ctx, keyOf(r), r.Opaque.Service, clock.SinceBoot())
}

// learnMoves makes this node know how routes led before its start, if the store has that. Without it, a stream that is taken up needs a
// record.
func (s *software) learnMoves(ctx context.Context) {
	_, _ = s.moves.get(ctx, routesKey) // without an answer, the moves stay unknown
}

// recordedAt returns which of several services has a record of a stream, or "" if none has. It fails if that isn't known.
func (s *software) recordedAt(ctx context.Context, account, beganAs string, services []string) (string, error) {
	type result struct {
		service string
		found   bool
		err     error
	}
	results := make(chan result, len(services))
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	for _, service := range services {
		go func() {
			found, err := s.tracker.HasRecord(ctx, binding.NewKey(service, account, beganAs), service, clock.SinceBoot())
			results <- result{service, found, err}
		}()
	}
	var failed error
	for range services {
		r := <-results
		if r.found {
			return r.service, nil
		}
		failed = errors.Join(failed, r.err)
	}
	return "", Error.Wrap(failed)
}
