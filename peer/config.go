package peer

import (
	"context"
	"crypto/tls"
	"net"
	"time"
)

// Topology bounds the number of links that a node keeps.
type Topology struct {
	FullMeshLimit    int // up to this many members, each is linked to all others
	SameDomainLinks  int // above it: links within the own failure domain
	OtherDomainLinks int // above it: links to other failure domains
}

// Config describes one node. Zero durations and counts take the defaults.
type Config struct {
	ID            string
	Addr          string // host:port that other nodes dial
	FailureDomain string
	Incarnation   uint64 // zero: the time of New in ns since 1970
	Seeds         []string
	TLS           *tls.Config // nil: plain WebSocket
	Topology      Topology

	Heartbeat      time.Duration // between heartbeats on a link; default 1 s
	SyncInterval   time.Duration // between membership digests; default 3 heartbeats
	Policy         Policy        // defaults: 4 heartbeats, 4 heartbeats, 2 h
	DialTimeout    time.Duration // dial and handshake; default 2 s
	WriteTimeout   time.Duration // one message; default 4 heartbeats
	MaxBackoff     time.Duration // between dials of one address; default 15 s
	IdleTimeout    time.Duration // unused link made for a call; default 60 s
	MaxMessage     int           // bytes; default 1 MiB + 64 KiB
	MaxQueueBytes  int           // waiting on one link; default 4 MiB
	MaxLinks       int           // accepted and dialled; default 64
	MaxCallLinks   int           // dialled on demand for calls; default 8
	MaxCallsServed int           // calls that run here at once; default 128

	// Dial opens the TCP connections; nil takes net.Dialer.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
}

// minKeyBytes is the shortest shared key that New accepts.
const minKeyBytes = 16

// Bounds that need no setting.
const (
	queueFrames       = 256
	maxDialsAtOnce    = 8
	seedsAtOnce       = 3 // dialled in one tick by a node without links
	maxHandshakes     = 32
	maxHandshakeBytes = 4 << 10
	maxDemandPerBeat  = 64
	maxDemandAccounts = 8192
	maxMembers        = 4096
	floodQueue        = 1024
	maxFloodHops      = 24
	seenFloods        = 4096 // per generation; two are kept
)

func (c Config) withDefaults() Config {
	def(&c.Heartbeat, time.Second)
	def(&c.SyncInterval, 3*c.Heartbeat)
	def(&c.Policy.LinkTimeout, 4*c.Heartbeat)
	def(&c.Policy.SuspectTimeout, 4*c.Heartbeat)
	def(&c.Policy.ForgetAfter, 2*time.Hour)
	def(&c.DialTimeout, 2*time.Second)
	def(&c.WriteTimeout, 4*c.Heartbeat)
	def(&c.MaxBackoff, 15*time.Second)
	def(&c.IdleTimeout, time.Minute)
	def(&c.MaxMessage, 1<<20+64<<10)
	def(&c.MaxQueueBytes, 4<<20)
	def(&c.MaxLinks, 64)
	def(&c.MaxCallLinks, 8)
	def(&c.MaxCallsServed, 128)
	def(&c.Topology.FullMeshLimit, 16)
	def(&c.Topology.SameDomainLinks, 4)
	def(&c.Topology.OtherDomainLinks, 2)
	if c.Dial == nil {
		c.Dial = (&net.Dialer{}).DialContext
	}
	return c
}

func def[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
