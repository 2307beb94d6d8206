package binding

import "testing"

// Guards against streams at a version that the store's statement excludes, begun by a router that has read the statement and has
// not taken in the list yet: they are taken for streams of the sole version.
func TestRouterThatStartsHeedsTheStatement(t *testing.T) {
	t.Parallel()
	f := newSimFleet(t, 24, 76)
	f.play()
	if f.wrong > 0 {
		t.Errorf("%d of %d streams at another version", f.wrong, f.began)
	}
}

// Guards against refusals of most streams that could go on, in a fleet whose store refuses writes while versions change.
func TestStreamsGoOnInAFleetInTouch(t *testing.T) {
	t.Parallel()
	f := newSimFleet(t, 64, 76)
	f.play()
	if 2*f.inTouchFound < f.inTouch {
		t.Errorf("%d of %d streams went on", f.inTouchFound, f.inTouch)
	}
}
