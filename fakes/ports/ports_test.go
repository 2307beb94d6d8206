package ports

import (
	"net"
	"os"
	"os/exec"
	"sync"
	"testing"
)

// Symptom: a process that a test starts ends at once, or never gets ready: another
// one listens on its address.
// Sequence: two test programs look for free ports at the same time, or one does
// while a process of the other is being restarted; the port is free, so both use it.
// Cause: a port that was merely looked at is nobody's until a process binds it. Here
// two pools, as two programs have them, never give out the same one, though nobody
// listens on any of them.
func TestPoolsGiveOutDifferentPorts(t *testing.T) {
	const pools, each = 8, 3 * blockSize
	given := map[string]int{}
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
			if other, taken := given[addr]; taken {
				t.Fatalf("%s was given out by pool %d and by pool %d", addr, other, i)
			}
			given[addr] = i
		}
	}
}

func TestClosedPoolGivesItsBlocksBack(t *testing.T) {
	p := &Pool{}
	if _, err := p.FreeAddr(); err != nil {
		t.Fatal(err)
	}
	guard := p.claims[0].Addr().String()
	if err := p.Close(); err != nil {
		t.Fatal(err)
	}
	if len(p.claims) != 0 || p.next != p.end {
		t.Fatalf("the pool still holds %s", guard)
	}
}

// Symptom: a stand-in can't listen on the address that it was given: it is in use.
// Sequence: a test looks whether a port is free while another one starts a process. The
// new process has a copy of every socket until it runs its program, so also of the one
// that looked, which is closed meanwhile; then the stand-in listens.
// Cause: a socket is gone only when its last copy is.
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
			t.Fatalf("once more: %v", err)
		}
		ln.Close()
	}
}
