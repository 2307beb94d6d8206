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
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"

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
		ln, err := listenAt(port)
		if err != nil {
			continue // of a program that knows of no claims
		}
		err = ln.Close()
		AwaitStarts()
		return ln.Addr().String(), Error.Wrap(err)
	}
}

// AwaitStarts returns when no process is being started that may hold a copy of a
// socket that was closed before. A new process has a copy of every socket until it
// runs its program; as long as it has, nobody else can listen on the port.
func AwaitStarts() {
	syscall.ForkLock.RLock() // held for writing from the copy to the program's run
	defer syscall.ForkLock.RUnlock()
}

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
	return net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
}
