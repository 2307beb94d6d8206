package forward

import (
	"testing"

	"wigeondale/backend"
	"wigeondale/generation"
)

// Guards against a request without a configured priority that a router of an earlier release passes on: its message has 0, the
// most urgent priority. Engines must still get that number.
func TestPriorityOfAMessageIsDerived(t *testing.T) {
	f := &Forwarder{cfg: Config{Priority: func(_, route, _ string) (int, bool) { return 5, route == "known" }}}
	for _, name := range []string{"known", "other"} {
		for _, stated := range []int{0, 7} {
			want := stated
			if name == "known" {
				want = 5
			}
			o := &generation.Opaque{Opaque: &backend.Opaque{Route: name, Urgency: 2, StatedPriority: stated}}
			req := (&startMessage{ID: "r", Opaque: encodeOpaque(o)}).request(nil)
			f.derivePriority(&req)
			if got := req.Opaque; got.StatedPriority != stated || got.Urgency != want {
				t.Errorf("%s, %d stated: priority %d, engines get %d", name, stated, got.Urgency, got.StatedPriority)
			}
		}
	}
}
