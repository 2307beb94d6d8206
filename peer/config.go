package peer

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"wigeondale/bounded"
)

// Topology bounds the number of links that a node keeps.
type Topology struct {
	FullMeshLimit    int // up to this many members, each node links to all others
	SameDomainLinks  int // in larger fleets: links within the node's failure domain
	OtherDomainLinks int // in larger fleets: links to other failure domains
}

// Config describes one node. New replaces zero durations and counts by the defaults.
type Config struct {
	ID            string
	Addr          string // host:port that other nodes dial
	FailureDomain string
	Incarnation   uint64 // zero means the time of New in ns since 1970
	Seeds         []string
	TLS           *tls.Config // nil means links without TLS
	Topology      Topology

	Heartbeat      time.Duration // interval between heartbeats on a link; default 1 s
	SyncInterval   time.Duration // interval between membership digests; default 3 heartbeats
	Policy         Policy        // timeouts; defaults, in order: 4 heartbeats, 4 heartbeats, 2 h
	DialTimeout    time.Duration // for dial and handshake; default 2 s
	WriteTimeout   time.Duration // for one message; default 4 heartbeats
	MaxBackoff     time.Duration // between dials of one address; default 15 s
	IdleTimeout    time.Duration // until an unused link made for a call is closed; default 60 s
	MaxMessage     int           // size of a message in bytes; default 1 MiB + 64 KiB
	MaxQueueBytes  int           // bytes queued on one link; default 4 MiB
	MaxLinks       int           // open links, accepted and dialled; default 64
	MaxCallLinks   int           // links dialled on demand for calls; default 8
	MaxCallsServed int           // calls that this node runs at once; default 128

	MaxHandshakes    int // accepted connections that have not proved the key; default 32
	MaxStreams       int // streams that other nodes may have open here; default 256
	MaxStreamMessage int // size of a message of a stream in bytes; default 16 MiB
	// StreamPool bounds the memory of the received messages of all streams; nil means no bound.
	StreamPool *bounded.Pool

	// Dial opens the TCP connections. If it is nil, the mesh uses a net.Dialer.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
}

// minKeyBytes is the shortest shared key that New accepts.
const minKeyBytes = 16

// These limits are not configurable.
const (
	linkQueueLength        = 256
	maxConcurrentDials     = 8
	maxConcurrentSeedDials = 3 // seeds that a node without links dials in one tick
	maxHandshakeBytes      = 4 << 10
	maxDemandPerHeartbeat  = 64
	maxDemandAccounts      = 8192
	maxMembers             = 4096
	floodQueueLength       = 1024
	maxFloodHops           = 24
	maxSeenFloods          = 4096 // keys per set; two sets are kept
)

func (c Config) withDefaults() Config {
	setDefault(&c.Heartbeat, time.Second)
	setDefault(&c.SyncInterval, 3*c.Heartbeat)
	setDefault(&c.Policy.LinkTimeout, 4*c.Heartbeat)
	setDefault(&c.Policy.SuspectTimeout, 4*c.Heartbeat)
	setDefault(&c.Policy.ForgetAfter, 2*time.Hour)
	setDefault(&c.DialTimeout, 2*time.Second)
	setDefault(&c.WriteTimeout, 4*c.Heartbeat)
	setDefault(&c.MaxBackoff, 15*time.Second)
	setDefault(&c.IdleTimeout, time.Minute)
	setDefault(&c.MaxMessage, 1<<20+64<<10)
	setDefault(&c.MaxQueueBytes, 4<<20)
	setDefault(&c.MaxLinks, 64)
	setDefault(&c.MaxCallLinks, 8)
	setDefault(&c.MaxCallsServed, 128)
	setDefault(&c.MaxHandshakes, 32)
	setDefault(&c.MaxStreams, 256)
	setDefault(&c.MaxStreamMessage, 16<<20)
	setDefault(&c.Topology.FullMeshLimit, 16)
	setDefault(&c.Topology.SameDomainLinks, 4)
	setDefault(&c.Topology.OtherDomainLinks, 2)
	if c.Dial == nil {
		c.Dial = (&net.Dialer{}).DialContext
	}
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
