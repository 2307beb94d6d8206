package soak

import (
	"fmt"

	"wigeondale/fakes/crowd"
	fakes "wigeondale/fakes/hosted"
)

// These are the largest legal sizes with the default settings.
const (
	crowdHead = 32 << 10
	crowdBody = 4 << 20
)

// platformCrowd returns a crowd at a router on the users' platform. The ids of its requests begin with name.
func platformCrowd(addr, name, key string) crowd.Config {
	lines := fmt.Sprintf("Host: %s\r\nX-Attempt-Id: %s-{id}\r\nX-Api-Key: %s\r\nX-Deadline-Ms: %d\r\n", fakes.Host, name, key, budget.Milliseconds())
	return crowd.Config{Addr: addr, Path: "/look/x", LargePath: "/look" + fakes.LargePath, Request: lines, HeadBytes: crowdHead, BodyBytes: crowdBody}
}

// productCrowd returns a crowd at a router on the product's own interface.
func productCrowd(addr, name, key string) crowd.Config {
	lines := fmt.Sprintf("Host: %s\r\nAuthorization: Bearer %s\r\nIdempotency-Key: %s-{id}\r\n", addr, key, name)
	path := "/services/" + productService + "/book"
	return crowd.Config{Addr: addr, Path: path, LargePath: path, Request: lines, HeadBytes: crowdHead, BodyBytes: crowdBody}
}
