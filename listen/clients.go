package listen

import (
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"
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
	places   int            // taken by TakePlace
	dropped  map[string]int // by reason, since the last log line
	loggedAt time.Time
	unreadAt time.Time // when the last connection was closed whose answer wasn't read

	turnedAway atomic.Int64 // Unix time at which a new connection was closed for want of room, in ns
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
	victim, ok := c.makeRoom(now)
	if !ok {
		_ = raw.Close() // the client sees the end of the connection
		return nil
	}
	if victim != nil {
		victim.drop()
	}
	n := newConn(raw, c, now)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conns[n] = struct{}{}
	return n
}

// makeRoom returns the connection that has to be closed for a new one, or nil if none has to. ok is false if none can be closed.
func (c *clients) makeRoom(now time.Time) (victim *conn, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.full() {
		return nil, true
	}
	for range claimTries {
		victim, reason := c.leastActive(now)
		if victim == nil {
			break
		}
		if reason != reasonUnread && !victim.claim(reason) {
			continue // its request has become complete
		}
		delete(c.conns, victim)
		c.countLocked(reason, now)
		return victim, true
	}
	c.turnedAway.Store(now.UnixNano())
	c.countLocked(reasonFull, now)
	return nil, false
}

// claimTries is how many connections are tried for a new one, since a request may become complete meanwhile.
const claimTries = 4

// crowdedTime is how long each answer closes its connection after a new connection was turned away.
const crowdedTime = time.Second

// crowded reports whether a new connection was turned away a short time ago. Connections whose clients always send another request
// are never idle, and would keep new ones out for good.
func (c *clients) crowded() bool {
	return time.Now().UnixNano()-c.turnedAway.Load() < int64(crowdedTime)
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

// unreadInterval is the time between two connections that are closed since their answers aren't read.
const unreadInterval = 100 * time.Millisecond

// dropUnread closes the connection of longestUnread.
func (c *clients) dropUnread() {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.unreadAt) < unreadInterval {
		return // each message that waits calls for it
	}
	longest := c.longestUnread(now)
	if longest == nil {
		return
	}
	c.unreadAt = now
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
