package mirror

import (
	"errors"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"wigeondale/infra"
)

// Symptom: nodes that all start at once are not ready for half a minute. Sequence:
// each reads all items; the store's line is shared, so that no node has all pages
// in time; each failure begins anew. Cause: the pages that had come were thrown
// away.
func TestFailedReadGoesOnWhereItStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		for i := range 100 {
			s.put(strconv.Itoa(i))
		}
		s.failEvery = 3 // of ten pages
		out, m := followAs(t, s, Config{})
		time.Sleep(5 * time.Second)
		if !m.Synced() || len(out.now) != 100 {
			t.Errorf("synced %v with %d of 100 items", m.Synced(), len(out.now))
		}
	})
}

// Symptom: changes made while all is read are missing for ever. Sequence: a read
// fails, goes on much later, and the store has dropped the changes since its first
// page. Cause: pages are of use only while the changes since are remembered.
func TestOldPagesAreNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		for i := range 20 {
			s.put(strconv.Itoa(i))
		}
		s.failEvery = 2
		out, m := followAs(t, s, Config{}) // has the first page
		s.fail(errors.New("down"))
		time.Sleep(defaultKeep + time.Second)
		s.mu.Lock()
		delete(s.items, "0")
		s.mu.Unlock()
		s.failEvery = 0
		s.fail(nil)
		time.Sleep(2 * time.Second)
		if !m.Synced() || out.has("0") || len(out.now) != 19 {
			t.Errorf("synced %v with %v", m.Synced(), out.now)
		}
	})
}

// Symptom: a node starts with a configuration that was replaced seconds ago, and
// accepts keys that were taken away. Sequence: its first read is answered from what
// the store knew before; the changes since are known, or were dropped. Cause: old
// pages counted before the changes since were taken in.
func TestFirstReadIsBroughtUpToDate(t *testing.T) {
	for name, compacted := range map[string]bool{"changes known": false, "changes dropped": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newFakeStore()
				s.put("taken")
				s.put("config")
				s.old = &infra.Page{Revision: 3, Values: []infra.Value{{Key: "taken", ModRev: 2}, {Key: "config", ModRev: 3}}}
				s.put("config")
				s.mu.Lock()
				delete(s.items, "taken")
				s.rev++
				s.events = append(s.events, infra.WatchEvent{Deleted: true, Value: infra.Value{Key: "taken", ModRev: s.rev}})
				s.mu.Unlock()
				if compacted {
					s.compact()
				}
				out := follow(t, s)
				time.Sleep(time.Second)
				if !out.has("config") || out.has("taken") || slices.Contains(out.log, "put taken") && compacted {
					t.Errorf("got %v", out.log)
				}
				if out.now["config"] != 4 {
					t.Errorf("configuration of revision %d, want 4", out.now["config"])
				}
			})
		})
	}
}
