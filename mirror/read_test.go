package mirror

import (
	"errors"
	"slices"
	"strconv"
	"testing"
	"time"

	"wigeondale/fakes/bubble"
	"wigeondale/infra"
)

// TestFailedReadGoesOnWhereItStopped guards against nodes that all start at once and
// are not ready for half a minute. Each node reads all items, and the nodes share the
// store's bandwidth, so that no node gets all pages in time. After a failed read, a
// node must keep the pages it has and not start again.
func TestFailedReadGoesOnWhereItStopped(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := newFakeStore()
		for i := range 100 {
			s.put(strconv.Itoa(i))
		}
		s.failEvery = 3 // every third read of a page fails; there are ten pages
		out, m := startMirrorWith(t, s, Config{})
		time.Sleep(5 * time.Second)
		if !m.Synced() || len(out.items) != 100 {
			t.Errorf("synced %v with %d of 100 items", m.Synced(), len(out.items))
		}
	})
}

// TestOldPagesAreNotUsed guards against missing the changes made during a read of all
// items. A read fails and continues much later, when the store has dropped the changes
// made since the first page was read. Pages may be used only while the changes made
// since they were read are available.
func TestOldPagesAreNotUsed(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := newFakeStore()
		for i := range 20 {
			s.put(strconv.Itoa(i))
		}
		s.failEvery = 2
		out, m := startMirrorWith(t, s, Config{}) // the mirror has the first page
		s.fail(errors.New("down"))
		time.Sleep(defaultKeep + time.Second)
		s.mu.Lock()
		delete(s.items, "0")
		s.mu.Unlock()
		s.failEvery = 0
		s.fail(nil)
		time.Sleep(2 * time.Second)
		if !m.Synced() || out.has("0") || len(out.items) != 19 {
			t.Errorf("synced %v with %v", m.Synced(), out.items)
		}
	})
}

// TestFirstReadIsBroughtUpToDate guards against starting with a configuration that was
// replaced seconds ago and accepting keys that were revoked. The first read is served
// from stale data; the changes made since that data are available or have been dropped.
// Stale pages must not be used before these changes have been applied.
func TestFirstReadIsBroughtUpToDate(t *testing.T) {
	for name, compacted := range map[string]bool{"changes known": false, "changes dropped": true} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				s := newFakeStore()
				s.put("taken")
				s.put("config")
				s.stalePage = &infra.Page{Revision: 3, Values: []infra.Value{{Key: "taken", ModRev: 2}, {Key: "config", ModRev: 3}}}
				s.put("config")
				s.mu.Lock()
				delete(s.items, "taken")
				s.rev++
				s.events = append(s.events, infra.WatchEvent{Deleted: true, Value: infra.Value{Key: "taken", ModRev: s.rev}})
				s.mu.Unlock()
				if compacted {
					s.compact()
				}
				out := startMirror(t, s)
				time.Sleep(time.Second)
				if !out.has("config") || out.has("taken") || slices.Contains(out.calls, "put taken") && compacted {
					t.Errorf("got %v", out.calls)
				}
				if out.items["config"] != 4 {
					t.Errorf("configuration of revision %d, want 4", out.items["config"])
				}
			})
		})
	}
}
