package backend

import (
	"context"
	"errors"
	"net"
	"syscall"

	"wigeondale/fleet"
	"wigeondale/quarantine"
)

// Prober finds out by a connection whether backend servers have ended. It implements
// quarantine.Prober.
type Prober struct{}

// Probe implements quarantine.Prober. Where nothing listens the machine refuses the
// connection at once; one without power, or behind a cut, doesn't answer.
func (Prober) Probe(ctx context.Context, b fleet.Backend) quarantine.State {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", b.Addr)
	switch {
	case err == nil:
		// Nothing was sent on it, so that an error of closing tells nothing.
		_ = conn.Close()
		return quarantine.Working
	case errors.Is(err, syscall.ECONNREFUSED):
		return quarantine.Exited
	}
	return quarantine.Unreachable
}
