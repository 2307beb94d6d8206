package hosted

import (
	"fmt"
	"net"
	"os"
	"sync"
)

// The range of ports that FreeAddr draws from lies below the one from which
// systems give ports to outgoing connections: one of those would take an address
// between the moment when it is found free and its use.
const (
	firstPort = 11000
	portCount = 20000
	portsEach = 97 // apart, for processes that start together
)

var (
	portMu   sync.Mutex
	nextPort = os.Getpid() * portsEach % portCount
)

// FreeAddr returns a loopback address on which nobody listens.
func FreeAddr() (string, error) {
	portMu.Lock()
	defer portMu.Unlock()
	for range portCount {
		addr := fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort)
		nextPort = (nextPort + 1) % portCount
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		return addr, ln.Close()
	}
	return "", fmt.Errorf("no free port from %d on", firstPort)
}
