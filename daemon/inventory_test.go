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

// The routers that read the VM list may see a backend server as leaving and then as live,
// since the list may lag although the VM is about to be removed. This router must mark the
// server as leaving even if it only receives the later record, "live". But once the "live"
// record has lasted for a while, it is taken as correct: an engine may have been started
// again on that VM, and the old mark would keep all work from the new incarnation.
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
		"left in a past": {now - 2*unconfirmedLive.Milliseconds(), false},
	} {
		mesh, err := peer.New(peer.Config{ID: "r1", Addr: "10.0.0.9:1", FailureDomain: "a"}, []byte(strings.Repeat("k", 32)), nil, nil)
		if err != nil {
			t.Fatal(err)
		}
		inv := inventory.New(inventory.Config{Node: "r1"})
		v := &vms{inv: inv, mesh: mesh, mon: health.NewMonitor(health.DefaultPolicy(), nil, nil), drain: &drain{vm: "v9"}}
		dir := directory.New(nil)
		read := func() fleet.Backend {
			list, err := v.Backends(t.Context())
			if err != nil || len(list) != 1 {
				t.Fatal(list, err)
			}
			dir.Update(list, time.Now())
			return list[0]
		}
		inv.HandleFlood(inventory.Delta{Records: []inventory.Record{record(now, tc.left)}})
		if read(); dir.Leaving("e1") != tc.want {
			t.Errorf("%s: leaving is %v", name, !tc.want)
		}
		if read().Leaving || dir.Leaving("e1") != tc.want {
			t.Errorf("%s: shown as leaving more than once, or its mark was removed", name)
		}
	}
}

// A router must not flood that a backend server is leaving if it has learned this only by a
// flood. Once, a router that read the VM list flooded such an update, and each other router
// then flooded a peer report of its own: one leaving VM cost hundreds of floods.
func TestWhoSpreadsLeaving(t *testing.T) {
	for source, want := range map[directory.Source][2]bool{ // for a node that does not read the VM list, and for one that does
		directory.FromVMList:     {false, true},
		directory.FromReport:     {true, true},
		directory.FromRefusal:    {true, true},
		directory.FromIntent:     {false, false},
		directory.FromPeerReport: {false, false},
	} {
		if got := [2]bool{shouldFlood(source, inventory.NotReader), shouldFlood(source, inventory.Reader)}; got != want {
			t.Errorf("%s: %v, want %v", source, got, want)
		}
	}
}
