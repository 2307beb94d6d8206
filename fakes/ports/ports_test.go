package ports

import (
	"net"
	"os"
	"os/exec"
	"sync"
	"testing"
)

// Two pools, as two programs have them, must not return the same address, although no process listens
// on any of them. Two test programs that merely find a free port, at the same time or while a
// process of one is being restarted, choose the same one; one of the two processes then exits at
// once or is never ready.
func TestPoolsGiveOutDifferentPorts(t *testing.T) {
	const pools, each = 8, 3 * blockSize
	returnedBy := map[string]int{}
	for i := range pools {
		p := &Pool{}
		t.Cleanup(func() {
			if err := p.Close(); err != nil {
				t.Error(err)
			}
		})
		for range each {
			addr, err := p.FreeAddr()
			if err != nil {
				t.Fatal(err)
			}
			if other, taken := returnedBy[addr]; taken {
				t.Fatalf("%s was returned by pool %d and by pool %d", addr, other, i)
			}
			returnedBy[addr] = i
		}
	}
}

func TestClosedPoolGivesItsBlocksBack(t *testing.T) {
	p := &Pool{}
	if _, err := p.FreeAddr(); err != nil {
		t.Fatal(err)
	}
	guard := p.guards[0].Addr().String()
	if err := p.Close(); err != nil {
		t.Fatal(err)
	}
	if len(p.guards) != 0 || p.next != p.end {
		t.Fatalf("the pool still holds %s", guard)
	}
}

// An address that FreeAddr returns must be free even if the program is starting child
// processes at the same time. A child process inherits every socket until it executes its
// program. If FreeAddr listened to find out whether a port is free, a child could keep that
// socket open after it was closed here, and a fake could not listen on the address.
func TestAddressIsFreeWhileProcessesAreStarted(t *testing.T) {
	const starters, started, addresses = 8, 2, 4000
	var work sync.WaitGroup
	for range starters {
		work.Go(func() {
			for range started {
				if err := exec.Command(os.Args[0], "-test.run=^$").Run(); err != nil {
					t.Error(err)
				}
			}
		})
	}
	defer work.Wait()
	p := &Pool{}
	defer p.Close()
	for range addresses {
		addr, err := p.FreeAddr()
		if err != nil {
			t.Fatal(err)
		}
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		ln.Close()
		if ln, err = Listen(addr); err != nil {
			t.Fatalf("listen again: %v", err)
		}
		ln.Close()
	}
}
