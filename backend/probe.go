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
type Prober struct {
	Dial DialFunc // nil: a net.Dialer
}

// Probe implements quarantine.Prober. If no process listens on the port, the host refuses
// the connection immediately. A host that is powered off or unreachable doesn't answer.
func (p Prober) Probe(ctx context.Context, b fleet.Backend) quarantine.State {
	dial := p.Dial
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	conn, err := dial(ctx, "tcp", b.Addr)
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
