// Package ports reserves loopback addresses for test programs.
//
// A program that must choose the address of a process before it starts the process can't
// listen on the address itself. If it merely finds a free port, the port stays free until
// the process listens on it, and again during each restart of the process. Another test
// program on the same machine can choose the same port during that time, and one of the two
// processes exits at its start. A Pool therefore reserves a block of ports: it listens on
// the first one, the guard, until it is closed, and no other Pool uses the rest of the
// block.
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

// The range of ports that pools use. This range lies below the range from which operating
// systems assign ports to outgoing connections, since an outgoing connection could get a
// port in spite of its reservation.
const (
	firstPort  = 11000
	blockSize  = 50
	blockCount = 400
)

// Pool returns addresses from the blocks of ports that it has reserved. The zero Pool is
// ready to use.
type Pool struct {
	mu     sync.Mutex
	guards []net.Listener // on the first port of each reserved block
	next   int            // next port to try
	end    int            // first port after the current block
}

// programPool is the pool of this program, which the function FreeAddr uses.
var programPool Pool

// FreeAddr returns an address from the program's pool, which is never closed.
func FreeAddr() (string, error) { return programPool.FreeAddr() }

// FreeAddr returns a loopback address on which no process listens. It returns each address
// only once.
func (p *Pool) FreeAddr() (string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		if p.next == p.end {
			if err := p.reserveBlock(); err != nil {
				return "", err
			}
		}
		port := p.next
		p.next++
		if addr := address(port); !inUse(addr) { // else a program without a Pool uses it
			return addr, nil
		}
	}
}

// inUse reports whether a process listens on an address. It connects and does not try to
// listen: a child process that is started at that moment inherits the listening socket until
// it executes its program, so the address would stay in use after the socket was closed here.
func inUse(addr string) bool {
	conn, err := net.DialTimeout("tcp", addr, probeTimeout)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return false
	}
	if err == nil {
		conn.Close()
	}
	return true
}

// probeTimeout bounds the connection attempt of inUse. On loopback it takes microseconds.
const probeTimeout = time.Second

// reserveBlock reserves a block that no pool has. It starts at a random block, so that
// programs that start at the same time rarely try the same blocks.
func (p *Pool) reserveBlock() error {
	from := rand.IntN(blockCount)
	for i := range blockCount {
		guard := firstPort + (from+i)%blockCount*blockSize
		ln, err := listenAt(guard)
		if err != nil {
			continue
		}
		p.guards = append(p.guards, ln)
		p.next, p.end = guard+1, guard+blockSize
		return nil
	}
	return Error.New("all %d blocks of ports from %d on are reserved", blockCount, firstPort)
}

// InRange reports whether a port is in the range that pools use, which operating systems don't
// assign to outgoing connections.
func InRange(port int) bool {
	return port >= firstPort && port < firstPort+blockCount*blockSize
}

// Close releases all blocks.
func (p *Pool) Close() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	var group errs.Group
	for _, ln := range p.guards {
		group.Add(ln.Close())
	}
	p.guards, p.next, p.end = nil, 0, 0
	return Error.Wrap(group.Err())
}

func listenAt(port int) (net.Listener, error) {
	return net.Listen("tcp", address(port))
}

func address(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

// Listen listens on an address from a pool, also right after another listener on that
// address was closed: if a child process that is being started has inherited the closed
// listener's socket, Listen waits until the child has closed the socket as well.
func Listen(addr string) (net.Listener, error) {
	deadline := time.Now().Add(maxChildWait)
	for {
		ln, err := net.Listen("tcp", addr)
		if err == nil || !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(deadline) {
			return ln, Error.Wrap(err)
		}
		time.Sleep(childPoll)
	}
}

const (
	// maxChildWait bounds the wait for an inherited socket to close, which happens when the child
	// executes its program: within some ms, on a busy machine within some hundred ms.
	maxChildWait = 3 * time.Second
	childPoll    = 2 * time.Millisecond
)
