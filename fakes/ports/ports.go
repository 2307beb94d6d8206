// Package ports gives test programs loopback addresses that stay theirs.
//
// A program that has to state an address before it starts the process that listens
// there can't bind it itself. Merely looking for a free port leaves a gap until the
// process binds it, and one more each time the process is restarted: another test
// program on the same machine finds the port free too, and one of the two processes
// ends at its start. So a Pool claims a block of ports first, by listening on the
// block's first one for as long as it lives; no other Pool gives out the rest.
package ports

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("ports")

// The range lies below the one from which systems give ports to outgoing
// connections: those know of no claim.
const (
	firstPort  = 11000
	blockSize  = 50
	blockCount = 400
)

// Pool gives out addresses of the blocks that it has claimed. The zero Pool is
// ready to use.
type Pool struct {
	mu     sync.Mutex
	claims []net.Listener
	next   int // port to try next
	end    int // of the block
}

// shared serves the whole program.
var shared Pool

// FreeAddr returns an address of the program's own pool, which lives as long as it.
func FreeAddr() (string, error) { return shared.FreeAddr() }

// FreeAddr returns a loopback address on which nobody listens. It gives each out
// once.
func (p *Pool) FreeAddr() (string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		if p.next == p.end {
			if err := p.claim(); err != nil {
				return "", err
			}
		}
		port := p.next
		p.next++
		if addr := address(port); !answers(addr) { // else of a program that knows of no claims
			return addr, nil
		}
	}
}

// answers tells whether somebody listens at an address. To listen there oneself would
// tell too, but a process that is started at that moment has a copy of every socket
// until it runs its program: nobody else could listen for as long, though the socket
// that looked is closed.
func answers(addr string) bool {
	conn, err := net.DialTimeout("tcp", addr, answerTimeout)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return false
	}
	if err == nil {
		conn.Close()
	}
	return true
}

// answerTimeout bounds the look at a port. On loopback it takes microseconds.
const answerTimeout = time.Second

// claim takes a block that nobody has, from a place of its own on, so that programs
// that start together seldom try the same ones.
func (p *Pool) claim() error {
	from := rand.IntN(blockCount)
	for i := range blockCount {
		guard := firstPort + (from+i)%blockCount*blockSize
		ln, err := listenAt(guard)
		if err != nil {
			continue
		}
		p.claims = append(p.claims, ln)
		p.next, p.end = guard+1, guard+blockSize
		return nil
	}
	return Error.New("all %d blocks of ports from %d on are claimed", blockCount, firstPort)
}

// InRange tells whether a port is one that pools give out, and so none that systems
// give to outgoing connections.
func InRange(port int) bool {
	return port >= firstPort && port < firstPort+blockCount*blockSize
}

// Close gives all claims up.
func (p *Pool) Close() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	var group errs.Group
	for _, ln := range p.claims {
		group.Add(ln.Close())
	}
	p.claims, p.next, p.end = nil, 0, 0
	return Error.Wrap(group.Err())
}

func listenAt(port int) (net.Listener, error) {
	return net.Listen("tcp", address(port))
}

func address(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

// Listen listens at an address that was given out by a pool, also right after a
// listener there was closed: a copy of its socket in a process that is being started
// is waited for.
func Listen(addr string) (net.Listener, error) {
	end := time.Now().Add(copyPatience)
	for {
		ln, err := net.Listen("tcp", addr)
		if err == nil || !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(end) {
			return ln, Error.Wrap(err)
		}
		time.Sleep(copyCheck)
	}
}

const (
	// copyPatience bounds the wait for a copy to go. A process runs its program within
	// some ms, on a busy machine within some hundred.
	copyPatience = 3 * time.Second
	copyCheck    = 2 * time.Millisecond
)
