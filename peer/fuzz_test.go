package peer

import (
	"bytes"
	"testing"
)

// FuzzDecode checks that the decoder reports malformed messages as errors and
// never panics, and that accepted messages survive a round trip.
func FuzzDecode(f *testing.F) {
	f.Fuzz(func(t *testing.T, b []byte) {
		fr, err := decodeFrame(b)
		if err != nil {
			return
		}
		again, err := encMode.Marshal(fr)
		if err != nil {
			t.Fatal(err)
		}
		fr2, err := decodeFrame(again)
		if err != nil || !bytes.Equal(fr.Body, fr2.Body) || fr.ID != fr2.ID {
			t.Fatalf("round trip: %v", err)
		}
		decodeBody(fr, checkHeartbeat)
		decodeBody(fr, checkRecords)
		if d, err := decodeBody(fr, checkSync); err == nil {
			newTable().differing(d.Buckets, 0, 1)
		}
		if d, err := decodeBody(fr, checkRevisions); err == nil {
			newTable().applyRevisions(d, "self")
		}
	})
}
