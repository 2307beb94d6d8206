package hosted

import (
	"context"
	"strings"

	"wigeondale/binding"
	"wigeondale/clock"
	"wigeondale/peer"
)

// join registers the messages about the versions of streams.
func (s *software) join(mesh *peer.Mesh) {
	mesh.OnChange(s.tracker.Recheck)
	peer.HandleCall(mesh, msgBindings, func(_ context.Context, _ string, m binding.Message) (struct{}, error) {
		s.tracker.Keep(m.Records, clock.SinceBoot())
		return struct{}{}, nil
	})
	peer.HandleCall(mesh, callBinding, func(_ context.Context, _ string, q binding.Query) (binding.Reply, error) {
		return s.tracker.Reply(q, clock.SinceBoot()), nil
	})
	peer.HandleCall(mesh, callItem, s.handleItemQuery)
	peer.HandleCall(mesh, callConfig, s.handleConfigQuery)
	peer.HandleCall(mesh, callLeads, s.handleLeadsQuery)
}

func (s *software) handleItemQuery(ctx context.Context, _ string, q itemQuery) (itemReply, error) {
	if !strings.HasPrefix(q.Key, streamPrefix) && !strings.HasPrefix(q.Key, statementPrefix) {
		return itemReply{}, Error.New("item %q has nothing to do with the versions of streams", q.Key)
	}
	return s.readOwn(ctx, q.Key, q.Stale)
}

func (s *software) ask(ctx context.Context, node string, q binding.Query) (binding.Reply, error) {
	mesh := s.peers.currentMesh()
	if mesh == nil {
		return binding.Reply{}, Error.New("this router has no links")
	}
	return peer.Call[binding.Query, binding.Reply](ctx, mesh, node, callBinding, q)
}

// send sends records to a node. While an earlier message to the node is in progress, the records
// wait and are sent together.
func (s *software) send(node binding.Router, records []binding.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending[node] = append(s.pending[node], records...)
	if !s.sending[node] {
		s.sending[node] = true
		go s.sendPending(node)
	}
}

func (s *software) sendPending(node binding.Router) {
	for {
		s.mu.Lock()
		records := s.pending[node]
		delete(s.pending, node)
		if len(records) == 0 {
			delete(s.sending, node)
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		if err := s.sendRecords(node.ID, records); err != nil {
			s.sendFailed.Add(len(records))
			s.tracker.Failed(node, records)
			continue
		}
		s.tracker.Received(node, records)
	}
}

func (s *software) sendRecords(node string, records []binding.Record) error {
	mesh := s.peers.currentMesh()
	if mesh == nil {
		return Error.New("this router has no links")
	}
	ctx, stop := context.WithTimeout(context.Background(), recordTimeout)
	defer stop()
	_, err := peer.Call[binding.Message, struct{}](ctx, mesh, node, msgBindings, binding.Message{Records: records})
	return err
}
