package daemon

import (
	"strings"
	"testing"
	"time"

	"wigeondale/directory"
	"wigeondale/fleet"
	"wigeondale/health"
	"wigeondale/inventory"
	"wigeondale/peer"
)

// Symptom: a router sends new work to a VM about to go, since the news that it
// leaves was lost on the way; or none to an engine that was started anew there.
// Sequence: readers saw it leaving and then live; this router hears only of the
// latter, at once or long after. Cause: the newest reading alone is looked at;
// or an old mark is set on a new incarnation.
func TestLiveAfterLeavingIsDoubted(t *testing.T) {
	now := time.Now().UnixMilli()
	record := func(at, left int64) inventory.Record {
		return inventory.Record{
			Item: inventory.Item{ID: "e1", VM: "v1", Addr: "10.0.0.1:80", Role: string(fleet.Engine)},
			At:   at, Reader: "r2", FirstSeen: 1, LeavingAt: left,
		}
	}
	for name, tc := range map[string]struct {
		left int64
		want bool
	}{
		"never left":     {0, false},
		"left just now":  {now - 100, true},
		"left in a past": {now - 2*doubtfulLive.Milliseconds(), false},
	} {
		mesh, err := peer.New(peer.Config{ID: "r1", Addr: "10.0.0.9:1", FailureDomain: "a"}, []byte(strings.Repeat("k", 32)), nil, nil)
		if err != nil {
			t.Fatal(err)
		}
		inv := inventory.New(inventory.Config{Node: "r1"})
		v := &vms{inv: inv, mesh: mesh, mon: health.NewMonitor(health.DefaultPolicy(), nil, nil), drain: &drain{vm: "v9"}}
		dir := directory.New(nil)
		look := func() fleet.Backend {
			list, err := v.Backends(t.Context())
			if err != nil || len(list) != 1 {
				t.Fatal(list, err)
			}
			dir.Update(list, time.Now())
			return list[0]
		}
		inv.HandleFlood(inventory.Delta{Records: []inventory.Record{record(now, tc.left)}})
		if look(); dir.Leaving("e1") != tc.want {
			t.Errorf("%s: leaving is %v", name, !tc.want)
		}
		if look().Leaving || dir.Leaving("e1") != tc.want {
			t.Errorf("%s: shown as leaving more than once, or the mark is lost", name)
		}
	}
}

// Symptom: one leaving VM costs hundreds of floods. Sequence: a reader's news
// reaches all routers, and each floods a rumour of it. Cause: the rumour is sent
// by those that only heard.
func TestWhoSpreadsLeaving(t *testing.T) {
	for source, want := range map[directory.Source][2]bool{ // of one that rests, of one that reads
		directory.FromVMList:     {false, true},
		directory.FromReport:     {true, true},
		directory.FromRefusal:    {true, true},
		directory.FromIntent:     {false, false},
		directory.FromPeerReport: {false, false},
	} {
		if got := [2]bool{spreads(source, inventory.NotReader), spreads(source, inventory.Reader)}; got != want {
			t.Errorf("%s: %v, want %v", source, got, want)
		}
	}
}
