package peer

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// maxRelays is the maximum number of linked nodes that are tried as relays of one call.
// The next relay is tried only if the previous relay had no route to the callee,
// because only then is it certain that the callee has not run the call.
const maxRelays = 3

// defaultCallTimeout is the timeout of a call whose caller has no deadline, and
// the maximum timeout of any call at the callee.
const defaultCallTimeout = 30 * time.Second

// callHandler handles calls of one kind.
type callHandler func(ctx context.Context, from string, body cbor.RawMessage) (any, error)

// HandleCall registers fn for calls of a kind. Each call runs in its own goroutine
// under the caller's deadline. HandleCall must be called before Run.
func HandleCall[Req, Rep any](m *Mesh, kind string, fn func(ctx context.Context, from string, req Req) (Rep, error)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.callHandlers[kind] = func(ctx context.Context, from string, body cbor.RawMessage) (any, error) {
		var req Req
		if err := decMode.Unmarshal(body, &req); err != nil {
			return nil, &RemoteError{CodeBadRequest, err.Error()}
		}
		return fn(ctx, from, req)
	}
}

// Call sends a request to a node and waits for the reply until ctx ends. If there is no
// link to the node, Call dials the node; if that fails, it sends the request through a
// linked node, which relays it. Call returns ErrNoRoute, ErrStopped or ErrTooLarge if the
// callee did not run the call, ErrLinkLost if the callee may have run the call, and a
// *RemoteError if the callee or a relay replied with an error.
func Call[Req, Rep any](ctx context.Context, m *Mesh, node, kind string, req Req) (Rep, error) {
	var rep Rep
	body, err := encMode.Marshal(req)
	if err != nil {
		return rep, Error.Wrap(err)
	}
	raw, err := m.call(ctx, node, m.cfg.ID, kind, body)
	if err != nil {
		return rep, Error.Wrap(err)
	}
	if err := decMode.Unmarshal(raw, &rep); err != nil {
		return rep, Error.Wrap(err)
	}
	return rep, nil
}

func (m *Mesh) call(ctx context.Context, node, from, kind string, body cbor.RawMessage) (cbor.RawMessage, error) {
	if len(body) > m.cfg.MaxMessage-maxHandshakeBytes {
		return nil, ErrTooLarge
	}
	f := frame{Type: typeCall, Kind: kind, From: from, Body: body, Arg: timeoutMS(ctx)}
	if node == m.cfg.ID {
		return result(m.serve(ctx, f))
	}
	l, err := m.linkTo(ctx, node)
	if err == nil {
		return resultOf(l.call(ctx, f))
	}
	if errors.Is(err, ErrStopped) || from != m.cfg.ID {
		return nil, err
	}
	return m.relay(ctx, node, f)
}

// relay sends the call through one linked node after the other; a linked node may forward
// the call to the callee, but to no other relay. It tries the next linked node only if it
// is certain that the call has not reached the callee, so that the callee does not run the
// call twice.
func (m *Mesh) relay(ctx context.Context, node string, f frame) (cbor.RawMessage, error) {
	f.To = node
	links := m.shuffledLinks(node)
	for _, l := range links[:min(len(links), maxRelays)] {
		rep, err := l.call(ctx, f)
		if errors.Is(err, ErrNoRoute) {
			continue
		}
		if err == nil && Code(rep.Arg) == codeRelayNoRoute {
			continue
		}
		if err == nil && Code(rep.Arg) == codeRelayLost {
			return nil, ErrLinkLost
		}
		return resultOf(rep, err)
	}
	return nil, fmt.Errorf("%w %s", ErrNoRoute, node)
}

// call sends one request on the link and waits for its reply.
func (l *link) call(ctx context.Context, f frame) (frame, error) {
	if ctx.Err() != nil {
		return frame{}, fmt.Errorf("%w: %w", ErrNoRoute, ctx.Err())
	}
	f.ID = rand.Uint64()
	b, err := encMode.Marshal(f)
	if err != nil {
		return frame{}, err
	}
	reply := make(chan frame, 1)
	l.mu.Lock()
	l.calls[f.ID] = reply
	l.mu.Unlock()
	defer l.removeCall(f.ID)
	l.markUsed()
	if !l.send(typeCall, b) {
		return frame{}, ErrNoRoute
	}
	select {
	case rep, ok := <-reply:
		if ok {
			return rep, nil
		}
	case <-l.done:
	case <-ctx.Done():
		l.m.metrics.callLost.Inc()
		return frame{}, fmt.Errorf("%w: %w", ErrLinkLost, ctx.Err())
	}
	l.m.metrics.callLost.Inc()
	return frame{}, ErrLinkLost
}

func (l *link) removeCall(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.calls, id)
}

// failCalls makes the calls that wait for a reply on a closed link return ErrLinkLost.
func (l *link) failCalls() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, reply := range l.calls {
		close(reply)
		delete(l.calls, id)
	}
}

// receiveReply passes a reply to the call that waits for it. A reply that arrives
// after the call's deadline is dropped.
func (l *link) receiveReply(f frame) {
	l.mu.Lock()
	defer l.mu.Unlock()
	reply, ok := l.calls[f.ID]
	if !ok {
		return
	}
	delete(l.calls, f.ID)
	reply <- f
}

// receiveCall serves or relays a call in its own goroutine. If all call slots are
// taken, it replies CodeBusy instead.
func (m *Mesh) receiveCall(l *link, f frame) {
	l.markUsed()
	select {
	case m.callSlots <- struct{}{}:
	default:
		l.reply(errorReply(CodeBusy, "too many calls"), f.ID)
		return
	}
	started := m.start(func() {
		defer func() { <-m.callSlots }()
		ctx, cancel := context.WithTimeout(m.runCtx, timeoutOf(f))
		defer cancel()
		if f.To != "" && f.To != m.cfg.ID {
			l.reply(m.relayFor(ctx, f), f.ID)
			return
		}
		l.reply(m.serve(ctx, f), f.ID)
	})
	if !started {
		<-m.callSlots
	}
}

// relayFor forwards a call of another node to its callee, over an existing or a
// newly dialled link, but never through a second relay.
func (m *Mesh) relayFor(ctx context.Context, f frame) frame {
	m.metrics.relayed.Inc()
	body, err := m.call(ctx, f.To, f.From, f.Kind, f.Body)
	var remote *RemoteError
	switch {
	case err == nil:
		return frame{Type: typeReply, Body: body}
	case errors.As(err, &remote):
		return errorReply(remote.Code, remote.Text)
	case errors.Is(err, ErrLinkLost):
		return errorReply(codeRelayLost, "link lost behind the relay")
	}
	return errorReply(codeRelayNoRoute, "no route from the relay")
}

// serve runs the handler of a call and returns the reply. It returns an error reply if
// there is no handler, if the handler fails or panics, or if the handler's result is too
// large.
func (m *Mesh) serve(ctx context.Context, f frame) frame {
	m.mu.Lock()
	h := m.callHandlers[f.Kind]
	m.mu.Unlock()
	if h == nil {
		return errorReply(CodeNoHandler, f.Kind)
	}
	var rep any
	err := recoverPanic(func() (err error) {
		rep, err = h(ctx, f.From, f.Body)
		return err
	})
	if err != nil {
		var remote *RemoteError
		if errors.As(err, &remote) {
			return errorReply(remote.Code, remote.Text)
		}
		return errorReply(CodeHandler, err.Error())
	}
	raw, err := encMode.Marshal(rep)
	if err != nil {
		return errorReply(CodeHandler, err.Error())
	}
	if len(raw) > m.cfg.MaxMessage-maxHandshakeBytes {
		return errorReply(CodeHandler, ErrTooLarge.Error())
	}
	return frame{Type: typeReply, Body: raw}
}

func (l *link) reply(f frame, id uint64) {
	f.ID = id
	b, err := encMode.Marshal(f)
	if err != nil {
		return
	}
	l.send(typeReply, b)
}

func errorReply(code Code, text string) frame {
	raw, _ := encMode.Marshal(text) // encoding a string cannot fail
	return frame{Type: typeReply, Arg: uint64(code), Body: raw}
}

func resultOf(f frame, err error) (cbor.RawMessage, error) {
	if err != nil {
		return nil, err
	}
	return result(f)
}

func result(f frame) (cbor.RawMessage, error) {
	if f.Arg == 0 {
		return f.Body, nil
	}
	var text string
	if err := decMode.Unmarshal(f.Body, &text); err != nil {
		text = "unreadable error text"
	}
	return nil, &RemoteError{Code(f.Arg), text}
}

func timeoutMS(ctx context.Context) uint64 {
	t, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return uint64(max(time.Until(t).Milliseconds(), 1))
}

// timeoutOf returns the timeout that the caller sent. If the caller sent no timeout, or
// one above the default, timeoutOf returns the default, so that no call occupies a slot
// for longer than the default.
func timeoutOf(f frame) time.Duration {
	limit := uint64(defaultCallTimeout / time.Millisecond)
	if f.Arg == 0 || f.Arg > limit {
		return defaultCallTimeout
	}
	return time.Duration(f.Arg) * time.Millisecond
}
