package soak

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"wigeondale/backend"
	"wigeondale/fakes/proxy"
)

// Guards against a cut that leaves links between its sides, or separates routers of one side.
func TestPeerCutSeparatesItsSides(t *testing.T) {
	r := &platformRun{}
	for range 4 {
		web := httptest.NewServer(http.NotFoundHandler())
		t.Cleanup(web.Close)
		p, err := proxy.Start()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(p.Close)
		r.nodes = append(r.nodes, &node{peer: web.Listener.Addr().String(), peerProxy: p})
	}
	for _, count := range []int{0, 1, 2, 0} {
		heal := r.cutFromPeers(proxy.Resetting, r.nodes[:count])
		for i, from := range r.nodes {
			for j, to := range r.nodes {
				c, err := backend.ProxyDial(from.peerProxy.Addr())(t.Context(), "tcp", to.peer)
				if separate := (i < count) != (j < count); (err != nil) != separate {
					t.Errorf("router %d to %d with %d on a side: %v", i, j, count, err)
				}
				if err == nil {
					c.Close()
				}
			}
		}
		heal()
	}
}
