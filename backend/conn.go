package backend

import (
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"wigeondale/bounded"
)

// dialedKey is the key of a context value of type *conn, in which NewTransport stores the connection that it opens.
type dialedKey struct{}

// conn is a connection to a backend server.
type conn struct {
	pool    *Conns
	addr    string
	client  *http.ClientConn
	sealed  *sealConn
	answers *bounded.AnswerReader
	last    bool // it carries no request after the present one

	// The following fields are guarded by pool.mu.
	carried  []uint32 // digests of the keys of the requests that it has carried
	server   string   // the backend server of its latest answer
	asked    string   // the backend server to which its latest request was sent
	verified bool     // the answer to its latest request belongs to that request
	isIdle   bool
	expiry   *time.Timer // closes it when it has been idle for idleTimeout
}

// keyDigest returns a digest of a key. It is 0 for the empty key only.
func keyDigest(key string) uint32 {
	if key == "" {
		return 0
	}
	return max(uint32(xxhash.Sum64String(key)), 1)
}

// carries records that c carries a request whose key has a digest. The caller holds pool.mu.
func (c *conn) carries(digest uint32) {
	c.verified = false
	c.sealed.carries.Store(true)
	if digest != 0 {
		c.carried = append(c.carried, digest)
	}
}

// expect states that c carries the request of x next.
func (c *conn) expect(x Exchange) {
	c.answers.Expect(x.Request.Method)
	c.pool.mu.Lock()
	c.asked = x.Server
	c.pool.mu.Unlock()
}

// check returns the answer to the latest request of c if it belongs to that request.
func (c *conn) check(resp *http.Response, x Exchange) (*http.Response, error) {
	if err := x.Check(resp); err != nil {
		// Close of a body that is empty or was read does not close the connection.
		c.client.Close()
		resp.Body.Close()
		return nil, err
	}
	if x.Last != nil && x.Last(resp) {
		c.last = true
	}
	c.verify(x.Server)
	return resp, nil
}

// verify records that the answer to the latest request, which was sent to server, belongs to that request.
func (c *conn) verify(server string) {
	c.pool.mu.Lock()
	c.server = server
	c.verified = true
	c.pool.mu.Unlock()
	c.settle()
}

// settle makes c available to other requests when it can carry one, or closes it if it isn't kept. It is called at each
// change of the connection's state, also when it is closed.
func (c *conn) settle() {
	p := c.pool
	p.mu.Lock()
	drop := false
	switch idle := p.idle[c.addr]; {
	case c.client.Err() != nil:
		p.remove(c)
	case !c.verified || c.isIdle || c.client.Available() == 0:
	case c.last || len(c.carried) >= maxCarried || len(idle) >= idleConnsPerSrv:
		c.sealed.carries.Store(false)
		drop = true
	default:
		c.sealed.carries.Store(false)
		c.isIdle = true
		c.expiry = time.AfterFunc(idleTimeout, c.expire)
		p.idle[c.addr] = append(idle, c)
	}
	p.mu.Unlock()
	if drop {
		c.client.Close()
	}
}

// expire closes c if it is still idle.
func (c *conn) expire() {
	c.pool.mu.Lock()
	idle := c.isIdle
	c.pool.remove(c)
	c.pool.mu.Unlock()
	if idle {
		c.client.Close()
	}
}
