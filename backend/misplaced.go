package backend

import (
	"bufio"
	"bytes"
	"errors"
	"net/http"

	"github.com/VictoriaMetrics/metrics"

	"wigeondale/bounded"
	"wigeondale/event"
	"wigeondale/fleet"
)

// maxUnsolicitedBytes bounds how much of an unsolicited answer is parsed.
const maxUnsolicitedBytes = 2 << 10

// Misplaced logs and counts the answers that are malformed, or arrive where another answer, or none, is due. It is safe for concurrent use;
// nil does neither.
type Misplaced struct {
	log                    *event.Log
	misplaced, unsolicited *metrics.Counter
	malformed              *metrics.Counter
}

// NewMisplaced returns a Misplaced with its counters in set.
func NewMisplaced(log *event.Log, set *metrics.Set) *Misplaced {
	return &Misplaced{
		log:         log,
		misplaced:   set.GetOrCreateCounter("wigeon_answers_misplaced_total"),
		unsolicited: set.GetOrCreateCounter("wigeon_answers_unsolicited_total"),
		malformed:   set.GetOrCreateCounter("wigeon_answers_malformed_total"),
	}
}

// Record records an answer of b that names another request than the one that was sent. notRun reports that it states that
// its request was not run.
func (m *Misplaced) Record(b fleet.Backend, resp *http.Response, sent, named string, notRun bool) {
	if m == nil {
		return
	}
	m.misplaced.Inc()
	m.log.Emit(event.AnswerMisplaced, "backend", b.ID, "request", sent, "path", resp.Request.URL.RequestURI(), "answer_to", named,
		"status", resp.StatusCode, "not_run", notRun)
}

// NamedRequest returns the request that an answer names, and whether the answer states that it was not run.
type NamedRequest func(*http.Response) (request string, notRun bool)

// namedCall is the NamedRequest of services, which refuse nothing.
func namedCall(resp *http.Response) (request string, notRun bool) {
	return resp.Header.Get(requestIDHeader), false
}

// namedRequest is the NamedRequest of engines.
func namedRequest(resp *http.Response) (request string, notRun bool) {
	_, refused := errors.AsType[*Refused](parseRefusal(resp))
	return resp.Header.Get(requestIDHeader), refused
}

// recordUnsolicited records bytes that a connection received while it carried no request. server is the backend server to
// which the connection belonged, or empty if it has carried no request. Bytes that are no answer are not logged: they may
// be the text of one.
func (m *Misplaced) recordUnsolicited(server, addr string, received []byte, named NamedRequest) {
	if m == nil {
		return
	}
	kv := []any{"backend", server, "address", addr, "bytes", len(received)}
	received = received[:min(len(received), maxUnsolicitedBytes)]
	var resp *http.Response
	err := bounded.CheckHead(received)
	if err == nil {
		resp, err = http.ReadResponse(bufio.NewReader(bytes.NewReader(received)), &http.Request{})
	}
	if err == nil {
		defer resp.Body.Close()
		request, notRun := named(resp)
		if resp.StatusCode == http.StatusRequestTimeout && request == "" {
			return // notice that the server closes an idle connection, as net/http regards it
		}
		kv = append(kv, "status", resp.StatusCode, "answer_to", request, "not_run", notRun)
	}
	m.unsolicited.Inc()
	m.log.Emit(event.AnswerUnsolicited, kv...)
}

// recordMalformed records an answer of a server that is malformed. It may have run the request.
func (m *Misplaced) recordMalformed(server, addr string, err error) {
	if m == nil {
		return
	}
	m.malformed.Inc()
	m.log.Emit(event.AnswerMalformed, "backend", server, "address", addr, "error", err)
}

// malformed is called with the error of a malformed answer that c receives. Bytes that arrive on an idle connection are not meant.
func (c *conn) malformed(err error) {
	if !c.sealed.carries.Load() {
		return
	}
	c.pool.mu.Lock()
	server := c.asked
	c.pool.mu.Unlock()
	c.pool.misplaced.recordMalformed(server, c.addr, err)
}

// SetMisplaced sets what records the answers that arrive out of place. It must be called before use.
func (p *Conns) SetMisplaced(m *Misplaced) { p.misplaced = m }

// SetMisplaced sets what records the answers that arrive out of place. It must be called before use.
func (c *Client) SetMisplaced(m *Misplaced) { c.conns.SetMisplaced(m) }

// SetMisplaced sets what records the answers that arrive out of place. It must be called before use.
func (c *ServiceClient) SetMisplaced(m *Misplaced) { c.conns.SetMisplaced(m) }

// received is called with all bytes that c receives, and records those that arrive while it carries no request.
func (c *conn) received(p []byte) {
	// The answer to a request is due until net/http has read it to its end, which may be before it has been checked.
	// c.client is set before c carries a request.
	if c.pool.misplaced == nil || c.sealed.carries.Load() && c.client.Available() == 0 {
		return
	}
	c.pool.mu.Lock()
	server := c.server
	c.pool.mu.Unlock()
	c.pool.misplaced.recordUnsolicited(server, c.addr, p, c.pool.named)
}
