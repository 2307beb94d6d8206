package order

import (
	"context"
	"errors"

	"wigeondale/backend"
	"wigeondale/fleet"
)

// NewBackends returns Backends that use the client of the backend servers.
func NewBackends(c *backend.Client) Backends { return backendsClient{c} }

type backendsClient struct {
	client *backend.Client
}

// Order implements Backends.
func (e backendsClient) Order(ctx context.Context, b fleet.Backend, o Order) (Status, error) {
	st, err := e.client.Order(ctx, b, backend.OrderRequest{
		Fence:   o.Fence,
		Plan:    o.Plan,
		Desired: o.Desired,
		Role:    o.Role,
		Leaving: o.Leaving,
	})
	if errors.Is(err, backend.ErrStaleFence) {
		return Status{}, Error.New("%w: %v", ErrStale, err)
	}
	return statusOf(st), Error.Wrap(err)
}

// Status implements Backends.
func (e backendsClient) Status(ctx context.Context, b fleet.Backend) (Status, error) {
	st, err := e.client.OrderStatus(ctx, b)
	if err != nil {
		return Status{}, Error.Wrap(err)
	}
	load, err := e.client.Load(ctx, b)
	if err != nil {
		return Status{}, Error.Wrap(err)
	}
	out := statusOf(st)
	out.Leaving, out.Role = load.Leaving, load.Role
	return out, nil
}

func statusOf(st backend.OrderStatus) Status {
	return Status{Fence: st.Fence, Desired: st.Desired, Actual: st.Actual, Loading: st.Loading}
}
