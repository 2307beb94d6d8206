package backend

import (
	"context"
	"errors"
	"net"
	"syscall"

	"wigeondale/fleet"
	"wigeondale/quarantine"
)

// Prober probes with a TCP connection whether the process of a backend server has
// exited. It implements quarantine.Prober.
type Prober struct{}

// Probe implements quarantine.Prober. If no process listens on the port, the host refuses
// the connection immediately. A host that is powered off or unreachable doesn't answer.
func (Prober) Probe(ctx context.Context, b fleet.Backend) quarantine.State {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", b.Addr)
	switch {
	case err == nil:
		// An error of Close is ignored, because no data was sent on the connection.
		_ = conn.Close()
		return quarantine.Working
	case errors.Is(err, syscall.ECONNREFUSED):
		return quarantine.Exited
	}
	return quarantine.Unreachable
}
