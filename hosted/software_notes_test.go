package hosted

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"wigeondale/fakes/bubble"
)

// notesStore counts the writes of each key.
type notesStore struct {
	mu      sync.Mutex
	writes  map[string]int
	written func(key string, stored bool)
}

func (c *notesStore) record(key string, stored bool) {
	c.mu.Lock()
	c.writes[key]++
	c.mu.Unlock()
	c.written(key, stored)
}

func (c *notesStore) Create(_ context.Context, key string, _ []byte) (bool, error) {
	c.record(key, true)
	return true, nil
}

func (c *notesStore) Remove(_ context.Context, key string) error {
	c.record(key, false)
	return nil
}

// Guards against a write by each of many nodes for one note, and against notes that stay for good.
func TestNotesOfVersionsAreFewWrites(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		const nodes = 300
		start := time.Now()
		store := &notesStore{writes: map[string]int{}}
		var all []*versionNotes
		for range nodes {
			all = append(all, &versionNotes{store: store, present: map[string]bool{}, due: map[string]*dueNote{}})
		}
		store.written = func(key string, stored bool) {
			time.AfterFunc(300*time.Millisecond, func() { // the change reaches all copies of the store
				for _, n := range all {
					n.seen(key, stored)
				}
			})
		}
		tick := func(length time.Duration, k knownVersions) {
			for range int(length / softwareTick) {
				for rank, n := range all {
					n.update("llm", k, func() int { return rank }, time.Since(start))
				}
				time.Sleep(softwareTick)
			}
		}
		tick(10*time.Second, knownVersions{listed: []string{"v1", "v/2"}})
		if got := fmt.Sprint(store.writes); got != "map[wigeondale/versions/llm/v%2F2:1 wigeondale/versions/llm/v1:1]" {
			t.Errorf("written %s", got)
		}
		tick(10*time.Second, knownVersions{listed: []string{"v/2"}, all: true})
		if got := fmt.Sprint(store.writes); got != "map[wigeondale/versions/llm/v%2F2:1 wigeondale/versions/llm/v1:2]" {
			t.Errorf("written and removed %s", got)
		}
		if !all[0].present[noteKey("llm", "v/2")] || all[0].present[noteKey("llm", "v1")] {
			t.Errorf("the notes are %v", all[0].present)
		}
	})
}
