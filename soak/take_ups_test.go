package soak

import (
	"strings"
	"testing"
)

// Guards against an answer to a take-up that misses or repeats a piece, or joins two versions or streams, and counts as right.
func TestTakeUpIsJudgedFromItsOwnPiece(t *testing.T) {
	for pieces, right := range map[string]bool{
		"b/4@v1 b/5@v1": true, "b/5@v1": false, "b/3@v1": false, "b/4@v1 b/4@v1": false, "b/4@v2": false, "b/4@v1 b/5@v2": false, "a/4@v1": false,
	} {
		s, got := softwareStream{id: "a", version: "v1", last: 3}, true
		for _, piece := range strings.Fields(pieces) {
			got = got && s.add("b", piece) == ""
		}
		if got != right {
			t.Errorf("%s: right %t", pieces, got)
		}
	}
}
