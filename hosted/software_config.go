package hosted

import (
	"context"
	"math/rand/v2"

	"wigeondale/fleet"
	"wigeondale/generation"
	"wigeondale/peer"
	"wigeondale/platform"
)

// This file finds out whether the configuration in force at this router is the newest one. A router that is cut off, or only late,
// doesn't know that a route has moved, and would lead a stream that is taken up to the service of the old route. A record says where a
// stream began; without one the configuration is evidence only if the store had no newer one after the client's request arrived.

const callConfig = "hosted.config_unchanged"

// configQuery asks another router whether the store has a configuration that is newer than a revision.
type configQuery struct {
	Since fleet.Revision `cbor:"1,keyasint"`
}

// configReply states that it has none. A reply that lacks the field says nothing.
type configReply struct {
	Unchanged bool `cbor:"1,keyasint,omitempty"`
}

var (
	errNewerConfig = Error.New("the store has a newer configuration")
	errNoRevision  = Error.New("no revision to compare with")
)

// checkConfig returns an error unless the configuration by which the service of a request was chosen was the newest one in the store
// after the call began.
func (s *software) checkConfig(ctx context.Context, r *generation.Request) error {
	newest, err := s.configs.get(ctx, platform.ConfigKey)
	switch {
	case err != nil:
		return Error.New("the service was chosen by configuration %d, and whether the store has a newer one is not known: %w", r.Opaque.ConfigVersion, err)
	case newest != r.Opaque.ConfigVersion:
		return Error.New("the service was chosen by configuration %d: %w", r.Opaque.ConfigVersion, errNewerConfig)
	}
	return nil
}

// readConfigVersion returns the version of the configuration in force at this router if the store has no newer one.
func (s *software) readConfigVersion(ctx context.Context, _ string) (int64, error) {
	since := s.newest()
	t := s.table.Get() // has all changes up to since
	if t == nil {
		return 0, Error.New("no configuration yet")
	}
	reply, err := readEither(ctx,
		func(ctx context.Context) (configReply, error) { return s.readConfigUnchanged(ctx, since) },
		func(ctx context.Context, node string) (configReply, error) {
			return peer.Call[configQuery, configReply](ctx, s.peers.currentMesh(), node, callConfig, configQuery{Since: since})
		}, s.anyRouter)
	switch {
	case err != nil:
		return 0, err
	case !reply.Unchanged:
		s.catchUp()
		return 0, errNewerConfig
	}
	return t.Version, nil
}

// readConfigUnchanged asks the store whether the configuration has changed since a revision.
func (s *software) readConfigUnchanged(ctx context.Context, since fleet.Revision) (configReply, error) {
	if since == 0 {
		return configReply{}, errNoRevision
	}
	changes, _, err := s.store.Changes(ctx, platform.ConfigKey, since, 0)
	return configReply{Unchanged: err == nil && len(changes) == 0}, err
}

func (s *software) handleConfigQuery(ctx context.Context, _ string, q configQuery) (configReply, error) {
	return s.readConfigUnchanged(ctx, q.Since)
}

// anyRouter returns the id of another router that is considered working, and false if there is none.
func (s *software) anyRouter() (string, bool) {
	others := s.routers()
	if len(others) == 0 {
		return "", false
	}
	return others[rand.IntN(len(others))].ID, true
}
