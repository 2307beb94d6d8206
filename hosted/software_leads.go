package hosted

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"wigeondale/binding"
	"wigeondale/clock"
	"wigeondale/peer"
	"wigeondale/route"
)

// This file finds out whether streams were moved by configurations that this router has not seen and the store doesn't have any more. All
// routers state how their routes led streams in that time. That proves something only if each router that may have begun a stream then
// is still running.

const (
	callLeads = "hosted.leads"
	// leadsTimeout bounds the wait for all answers. leadsMargin is added to the time that is asked for: it covers that wait, and the age of
	// what this router knew.
	leadsTimeout = 4 * time.Second
	leadsMargin  = leadsTimeout + time.Second
	// maxLeadsTime is the longest time that is asked for. A router that has ended is remembered for longer.
	maxLeadsTime = 15 * time.Second
	// leadsCalls is how many routers are asked at the same time, since each may take a link of its own, and leadsTries how often each.
	leadsCalls = 4
	leadsTries = 3
)

// leadsQuery asks how routes led streams within a time up to now.
type leadsQuery struct {
	WithinMS int64 `cbor:"1,keyasint"`
}

// leadsReply is the answer. It proves nothing unless Covers is set: the router had routes in force for all of that time.
type leadsReply struct {
	Covers bool          `cbor:"1,keyasint,omitempty"`
	Leads  []route.Leads `cbor:"2,keyasint,omitempty"`
}

// all reports whether streams were led in one way for all of the time.
func (r leadsReply) all(leads route.Leads) bool {
	return r.Covers && len(r.Leads) == 1 && r.Leads[0] == leads
}

var (
	errNotWhole   = Error.New("a router has ended, started or been out of reach in that time")
	errOtherLeads = Error.New("a router led streams in another way, or doesn't say")
)

// confirmMoves makes the history of routes complete if all routers have led streams in the way of the configuration in force since this
// router last knew it to be complete.
func (s *software) confirmMoves(ctx context.Context) error {
	within, version, ok := s.table.Unconfirmed()
	if !ok {
		return nil
	}
	within += leadsMargin
	routers, whole := s.allRouters()
	if !whole || within > maxLeadsTime || s.tracker.ReachedAllFor(clock.SinceBoot()) < within {
		return errNotWhole
	}
	own := s.leadsWithin(within)
	if len(own.Leads) != 1 || !own.all(own.Leads[0]) {
		return errOtherLeads
	}
	if err := s.askLeads(ctx, routers, within, own.Leads[0]); err != nil {
		return err
	}
	s.table.Confirm(version)
	return nil
}

// askLeads returns an error unless all routers state that they have led streams in one way within a time.
func (s *software) askLeads(ctx context.Context, routers []binding.Router, within time.Duration, leads route.Leads) error {
	ctx, stop := context.WithTimeout(ctx, leadsTimeout)
	defer stop()
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(leadsCalls)
	for _, r := range routers {
		g.Go(func() error { return s.askLeadsOf(ctx, r.ID, within, leads) })
	}
	return g.Wait()
}

func (s *software) askLeadsOf(ctx context.Context, node string, within time.Duration, leads route.Leads) (err error) {
	for range leadsTries {
		var reply leadsReply
		reply, err = peer.Call[leadsQuery, leadsReply](ctx, s.peers.currentMesh(), node, callLeads, leadsQuery{within.Milliseconds()})
		switch {
		case err == nil && reply.all(leads):
			return nil
		case err == nil:
			return errOtherLeads
		case ctx.Err() != nil:
			return err
		}
	}
	return err
}

func (s *software) leadsWithin(d time.Duration) leadsReply {
	leads, covers := s.table.LedWithin(d)
	return leadsReply{Covers: covers, Leads: leads}
}

func (s *software) handleLeadsQuery(_ context.Context, _ string, q leadsQuery) (leadsReply, error) {
	if q.WithinMS <= 0 {
		return leadsReply{}, Error.New("no time is stated")
	}
	return s.leadsWithin(time.Duration(q.WithinMS) * time.Millisecond), nil
}

// allRouters returns all other routers, and false if one that is known or registered is not working, or leaves.
func (s *software) allRouters() (others []binding.Router, whole bool) {
	mesh := s.peers.currentMesh()
	if mesh == nil {
		return nil, s.peers.registeredNodes() <= 1
	}
	for _, m := range mesh.Members() {
		if !m.Alive || m.Suspect || m.Leaving {
			return nil, false
		}
		if !m.Self {
			others = append(others, binding.Router{ID: m.ID})
		}
	}
	return others, len(others)+1 >= s.peers.registeredNodes()
}
