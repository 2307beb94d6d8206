package binding

import "testing"

// Guards against a statement of a sole version by a router that has run since the deployment's first start and reaches all others again
// for two seconds: one of them was out of reach and has begun streams at a version that is listed no more.
func TestRouterOutOfReachIsNoProofOfASoleVersion(t *testing.T) {
	t.Parallel()
	f := newSimFleet(t, 24, 76)
	f.play()
	if f.wrong > 0 {
		t.Errorf("%d of %d streams at another version", f.wrong, f.began)
	}
}
