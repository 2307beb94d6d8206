// Package proxy is an HTTP CONNECT proxy for one process. It behaves as a network with a kernel at each
// end, and its links to some servers can be cut while those of other processes work.
package proxy

import (
	"bufio"
	"errors"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/zeebo/errs"
	"golang.org/x/sys/unix"
)

// Error is the class of this package's errors.
var Error = errs.Class("proxy")

// Mode is how a cut link behaves.
type Mode int

// The modes of a cut.
const (
	whole     Mode = iota // not cut
	Hanging               // nothing is delivered until the cut ends, and nothing refused
	Resetting             // open connections are reset, new ones refused
)

const (
	dialTimeout = 5 * time.Second
	// HungTimeout is how long a connection may hang before it counts as timed out, as it does on Linux by
	// TCP_USER_TIMEOUT.
	HungTimeout = 2200 * time.Millisecond

	connected = "HTTP/1.1 200 OK\r\n\r\n"
	refused   = "HTTP/1.1 502 Bad Gateway\r\nProxy-Status: fake; error=connection_refused\r\nContent-Length: 0\r\n\r\n"
)

// Proxy is the proxy of one process.
type Proxy struct {
	listener net.Listener

	mu      sync.Mutex // of all links, too
	changed *sync.Cond // on mu
	cuts    map[*cut]struct{}
	links   map[*link]struct{}
	closed  bool
}

type cut struct {
	mode Mode
	of   func(addr string) bool
}

// Start starts a proxy on a free loopback port.
func Start() (*Proxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, Error.Wrap(err)
	}
	p := &Proxy{listener: ln, cuts: map[*cut]struct{}{}, links: map[*link]struct{}{}}
	p.changed = sync.NewCond(&p.mu)
	go p.accept()
	return p, nil
}

// Addr returns the address of the proxy.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

// Close resets all connections and stops accepting.
func (p *Proxy) Close() {
	p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for l := range p.links {
		l.lose(l.client, l.server)
	}
	p.changed.Broadcast()
}

// Cut cuts the links to the servers for whose addresses of is true, until the returned function is called.
// Cuts may overlap; Resetting prevails.
func (p *Proxy) Cut(mode Mode, of func(addr string) bool) (end func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := &cut{mode, of}
	p.cuts[c] = struct{}{}
	var timeout *time.Timer
	if mode == Resetting {
		p.loseLinks(c)
	} else {
		timeout = time.AfterFunc(HungTimeout, func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			if _, lasts := p.cuts[c]; lasts {
				p.loseLinks(c)
			}
		})
	}
	p.changed.Broadcast()
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if timeout != nil {
			timeout.Stop()
		}
		delete(p.cuts, c)
		p.changed.Broadcast()
	}
}

// loseLinks loses the links that a cut concerns. The caller holds p.mu.
func (p *Proxy) loseLinks(c *cut) {
	for l := range p.links {
		if c.of(l.addr) {
			l.lose(l.client, l.server)
		}
	}
}

// mode returns how the links to a server behave. The caller holds p.mu.
func (p *Proxy) mode(addr string) Mode {
	m := whole
	for c := range p.cuts {
		if c.mode > m && c.of(addr) {
			m = c.mode
		}
	}
	return m
}

// hangs reports whether the links to a server hang. The caller holds p.mu.
func (p *Proxy) hangs(addr string) bool { return !p.closed && p.mode(addr) == Hanging }

// awaitLink waits while the links to a server hang, and reports whether they work then.
func (p *Proxy) awaitLink(addr string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.hangs(addr) {
		p.changed.Wait()
	}
	return !p.closed && p.mode(addr) == whole
}

func (p *Proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(c.(*net.TCPConn))
	}
}

// serve answers one CONNECT.
func (p *Proxy) serve(client *net.TCPConn) {
	req, err := http.ReadRequest(bufio.NewReader(client))
	if err != nil || req.Method != http.MethodConnect {
		client.Close()
		return
	}
	works := p.awaitLink(req.Host)
	if has(client, unix.POLLRDHUP|unix.POLLERR) {
		client.Close() // it has given up
		return
	}
	if !works {
		refuse(client)
		return
	}
	server, err := net.DialTimeout("tcp", req.Host, dialTimeout)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		p.awaitLink(req.Host)
		refuse(client)
	case err != nil:
		client.Close()
	default:
		p.join(req.Host, client, server.(*net.TCPConn))
	}
}

func refuse(client net.Conn) {
	_, _ = client.Write([]byte(refused)) // an error means that the client has given up
	client.Close()
}

// has reports whether one of the poll events holds for a connection.
func has(c *net.TCPConn, events int16) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	found := false
	err = raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: events}}
		_, _ = unix.Poll(fds, 0) // interrupted: no event is known
		found = fds[0].Revents&events != 0
	})
	return found || err != nil
}
