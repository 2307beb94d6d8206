package proxy

import (
	"io"
	"net"

	"golang.org/x/sys/unix"
)

// maxHeld is how many bytes of one direction a link takes while it hangs, as the send buffer of a kernel does.
const maxHeld = 256 << 10

// link is one connection through the proxy. Its fields are guarded by the mutex of the proxy.
type link struct {
	proxy          *Proxy
	addr           string
	client, server *net.TCPConn
	up, down       flow
	lost           bool
	finished       int // flows that were delivered to their end
}

// flow is one direction of a link. What it holds is delivered when the link doesn't hang, also after the
// source has closed its connection. It is dropped if the source has reset its connection.
type flow struct {
	src, dst *net.TCPConn
	held     []byte
	ended    bool // the source has sent all
}

// join links a client and a server.
func (p *Proxy) join(addr string, client, server *net.TCPConn) {
	l := &link{proxy: p, addr: addr, client: client, server: server}
	l.up, l.down = flow{src: client, dst: server}, flow{src: server, dst: client, held: []byte(connected)}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.links[l] = struct{}{}
	if p.closed || p.mode(addr) == Resetting {
		l.lose(client, server)
		return
	}
	for _, f := range []*flow{&l.up, &l.down} {
		go l.read(f)
		go l.write(f)
	}
}

// read takes what the source of a flow sends.
func (l *link) read(f *flow) {
	buf := make([]byte, 16<<10)
	for {
		n, err := f.src.Read(buf)
		if !l.take(f, buf[:n], err) {
			return
		}
	}
}

// take adds bytes to a flow. It reports whether more may follow.
func (l *link) take(f *flow, data []byte, err error) bool {
	l.proxy.mu.Lock()
	defer l.proxy.mu.Unlock()
	for len(f.held) >= maxHeld && !l.lost {
		l.proxy.changed.Wait()
	}
	if l.lost {
		return false
	}
	if err != nil && err != io.EOF {
		l.lose(f.src, f.dst)
		return false
	}
	f.held, f.ended = append(f.held, data...), err == io.EOF
	l.proxy.changed.Broadcast()
	return err == nil
}

// write delivers a flow to its destination.
func (l *link) write(f *flow) {
	for {
		data, end, ok := l.next(f)
		if !ok {
			return
		}
		if _, err := f.dst.Write(data); err != nil {
			l.fail(f.dst, f.src)
			return
		}
		if end {
			_ = f.dst.CloseWrite() // fails only if the destination is gone
			l.finish()
			return
		}
	}
}

// next waits for the bytes to deliver next, and reports whether they are the last ones. If ok is false,
// there is nothing more to deliver.
func (l *link) next(f *flow) (data []byte, end, ok bool) {
	p := l.proxy
	p.mu.Lock()
	defer p.mu.Unlock()
	for !l.lost && (len(f.held) == 0 && !f.ended || p.hangs(l.addr)) {
		p.changed.Wait()
	}
	// The reader may not have seen yet that the source has reset its connection.
	if !l.lost && has(f.src, unix.POLLERR) {
		l.lose(f.src, f.dst)
	}
	if l.lost {
		return nil, false, false
	}
	data, f.held = f.held, nil
	p.changed.Broadcast()
	return data, f.ended, true
}

// fail loses a link whose end gone has failed.
func (l *link) fail(gone, other *net.TCPConn) {
	l.proxy.mu.Lock()
	defer l.proxy.mu.Unlock()
	l.lose(gone, other)
}

// lose drops what the link holds, resets one end at once, and the other one when the link doesn't hang. The
// caller holds the mutex of the proxy.
func (l *link) lose(now, later *net.TCPConn) {
	if l.lost {
		return
	}
	l.lost, l.up.held, l.down.held = true, nil, nil
	delete(l.proxy.links, l)
	l.proxy.changed.Broadcast()
	reset(now)
	go func() {
		l.proxy.awaitLink(l.addr)
		reset(later)
	}()
}

// finish closes the link once both flows have been delivered.
func (l *link) finish() {
	l.proxy.mu.Lock()
	defer l.proxy.mu.Unlock()
	if l.finished++; l.finished < 2 || l.lost {
		return
	}
	delete(l.proxy.links, l)
	l.client.Close()
	l.server.Close()
}

func reset(c *net.TCPConn) {
	_ = c.SetLinger(0) // fails only if it is closed already
	c.Close()
}
