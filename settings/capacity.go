package settings

import (
	"cmp"
	"syscall"
)

const (
	assumedMemoryMB    = 512  // counts if the memory isn't known
	assumedDescriptors = 1024 // counts if the operating system states no limit
	// connBytes is the memory of an open connection besides its request: its goroutine and the buffers of http.Server.
	connBytes = 16 << 10
	// encryptedConnBytes is the same for a connection with TLS, which keeps the buffers of its records, and of HTTP/2.
	encryptedConnBytes = 48 << 10
	// minDescriptors is the least number of descriptors that is served well: fewer leave hardly any connections for backend servers.
	minDescriptors = 128
	// minConns is the least number of connections of a listener.
	minConns = 16
	// A stream has a goroutine for each direction and a message of up to 16 MB, which more streams would not speed up.
	maxPeerStreams = 256
	// minPeerHandshakes is that of a few routers that start together; maxPeerHandshakes bounds what connections without the key hold.
	minPeerHandshakes, maxPeerHandshakes = 4, 256
	// minReceiveBytes and maxReceiveBytes bound the receive buffer of a connection.
	minReceiveBytes = 4 << 10
	maxReceiveBytes = 128 << 10
)

// AnswersBytes returns the memory for answers while they are read and passed on.
func (l Limits) AnswersBytes() int64 { return l.memory() / 8 }

// RequestsBytes returns the memory for requests while they arrive and are handled.
func (l Limits) RequestsBytes() int64 { return l.memory() / 8 }

// OperatorBytes returns the memory for requests of operators, readiness checks and other routers. It isn't that of RequestsBytes, so that
// these are answered while clients have used that up.
func (l Limits) OperatorBytes() int64 { return l.memory() / 32 }

// TakenBytes returns the memory for requests that other routers pass on.
func (l Limits) TakenBytes() int64 { return l.memory() / 16 }

// ClientConns returns how many connections clients may have open at once. Each may need a connection to a backend server, so that
// clients get less than half of the descriptors.
func (l Limits) ClientConns(encrypted bool) int {
	size := int64(connBytes)
	if encrypted {
		size = encryptedConnBytes
	}
	return max(min(l.descriptors()/8*3, int(l.memory()/4/size)), minConns)
}

// SecondConns returns how many second connections to backend servers are allowed beside a full listener, under requests whose first
// backend server is silent. More take the places of clients.
func (l Limits) SecondConns() int { return l.descriptors() / 32 }

// PeerConns returns how many connections other routers may have open at once.
func (l Limits) PeerConns() int {
	return max(min(l.descriptors()/8, int(l.memory()/8/connBytes)), minConns)
}

// PeerStreams returns how many requests other routers may pass on at once, each on a connection of its own.
func (l Limits) PeerStreams() int { return min(l.PeerConns()/2, maxPeerStreams) }

// PeerHandshakes returns how many connections to the listener for other routers may be without the proof of the key.
func (l Limits) PeerHandshakes() int {
	return min(max(l.PeerConns()/8, minPeerHandshakes), maxPeerHandshakes)
}

// OperatorConns returns how many connections may be open at once to a listener for operators, metrics or readiness checks.
func (l Limits) OperatorConns() int {
	return max(min(l.descriptors()/32, int(l.memory()/32/connBytes)), minConns)
}

// ReceiveBytes returns the receive buffer of a connection of a client, in bytes.
func (l Limits) ReceiveBytes() int {
	return min(max(int(l.memory()/8)/l.ClientConns(false), minReceiveBytes), maxReceiveBytes)
}

func (l Limits) memory() int64 { return int64(cmp.Or(l.MemoryMB, assumedMemoryMB)) << 20 }

func (l Limits) descriptors() int {
	if l.Descriptors > 0 {
		return l.Descriptors
	}
	var r syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &r); err != nil {
		return assumedDescriptors
	}
	return int(min(r.Cur, 1<<20))
}
