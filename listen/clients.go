package listen

import (
	"crypto/tls"
	"net"
	"sync"
	"time"

	"wigeondale/bounded"
	"wigeondale/event"
)

// Reasons for which connections are closed.
const (
	reasonIdle    = "idle"            // the longest idle connection, for a new one
	reasonSlow    = "slow"            // a request that arrives slowly, for a new connection or another request
	reasonFull    = "full"            // a new connection, since all others have complete requests whose answers are read
	reasonMemory  = "no-memory"       // a request whose head finds no memory
	reasonTooLong = "header-too-long" // a head over the limit
	reasonUnread  = "unread"          // an answer that its client doesn't read, for another answer or a new connection
)

// logInterval is the shortest time between two log lines about closed connections.
const logInterval = 10 * time.Second

// clients holds the open connections of one listener, and bounds their number.
type clients struct {
	cfg   Config
	tls   *tls.Config // nil without TLS
	turns turns

	mu       sync.Mutex
	conns    map[*conn]struct{}
	dropped  map[string]int // by reason, since the last log line
	loggedAt time.Time
}

func newClients(cfg Config, tlsConfig *tls.Config) *clients {
	c := &clients{cfg: cfg, tls: tlsConfig, turns: newTurns(), conns: map[*conn]struct{}{}, dropped: map[string]int{}}
	cfg.Answers.OnShortage(c.dropUnread)
	cfg.Requests.OnShortage(c.dropUnread)
	if cfg.Metrics != nil {
		cfg.Metrics.NewGauge(`wigeon_connections{listener="`+cfg.Name+`"}`, func() float64 { return float64(c.count()) })
	}
	return c
}

func (c *clients) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.conns)
}

// admit returns the connection for raw, or nil if there is no room for it.
func (c *clients) admit(raw net.Conn) *conn {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cfg.MaxConns > 0 && len(c.conns) >= c.cfg.MaxConns {
		victim, reason := c.leastActive(now)
		if victim == nil {
			c.countLocked(reasonFull, now)
			_ = raw.Close() // the client sees the end of the connection
			return nil
		}
		delete(c.conns, victim)
		c.countLocked(reason, now)
		go victim.drop()
	}
	n := newConn(raw, c, now)
	c.conns[n] = struct{}{}
	return n
}

// leastActive returns the connection that has been idle for longest, or else the one whose request arrives most slowly, or else the one
// whose answer has not been read for longest, and nil if there is none of these.
func (c *clients) leastActive(now time.Time) (*conn, string) {
	var idlest, slowest *conn
	var since time.Time
	least := 1.0
	for n := range c.conns {
		at, progress, isIdle := n.activity(now)
		if isIdle {
			if idlest == nil || at.Before(since) {
				idlest, since = n, at
			}
			continue
		}
		if progress < least {
			slowest, least = n, progress
		}
	}
	switch {
	case idlest != nil:
		return idlest, reasonIdle
	case slowest != nil:
		return slowest, reasonSlow
	}
	return c.longestUnread(now), reasonUnread
}

// longestUnread returns the connection whose client has taken no bytes of its answers for longest, or nil if that is not long.
func (c *clients) longestUnread(now time.Time) *conn {
	var longest *conn
	since := now.UnixNano()
	for n := range c.conns {
		if at := n.unreadSince(now); at != 0 && at < since {
			longest, since = n, at
		}
	}
	return longest
}

// dropUnread closes the connection of longestUnread.
func (c *clients) dropUnread() {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	longest := c.longestUnread(now)
	if longest == nil {
		return
	}
	delete(c.conns, longest)
	c.countLocked(reasonUnread, now)
	go longest.drop()
}

func (c *clients) remove(n *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.conns, n)
}

// countDrop counts a connection that is closed for a reason, and logs such counts from time to time.
func (c *clients) countDrop(reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.countLocked(reason, time.Now())
}

func (c *clients) countLocked(reason string, now time.Time) {
	if c.cfg.Metrics != nil {
		c.cfg.Metrics.GetOrCreateCounter(`wigeon_connections_dropped_total{listener="` + c.cfg.Name + `",reason="` + reason + `"}`).Inc()
	}
	c.dropped[reason]++
	if c.cfg.Log == nil || now.Sub(c.loggedAt) < logInterval {
		return
	}
	c.loggedAt = now
	c.cfg.Log.Emit(event.ClientsDropped, "listener", c.cfg.Name, "open", len(c.conns),
		"idle", c.dropped[reasonIdle], "slow", c.dropped[reasonSlow], "full", c.dropped[reasonFull],
		"no_memory", c.dropped[reasonMemory], "header_too_long", c.dropped[reasonTooLong], "unread", c.dropped[reasonUnread])
	clear(c.dropped)
}

// hold returns the memory of a request that arrives on n.
func (c *clients) hold(n *conn) *bounded.Hold {
	return c.cfg.Requests.HoldInput(bounded.Input{MaxWait: memoryWait, GiveUp: n.giveUp, OnWait: n.turn.end})
}

// acceptor is a net.Listener whose connections are counted by clients.
type acceptor struct {
	net.Listener
	clients *clients
}

// Accept implements net.Listener.
func (a acceptor) Accept() (net.Conn, error) {
	for {
		raw, err := a.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if n := a.clients.admit(raw); n != nil {
			return n, nil
		}
	}
}
