package generation

import (
	"sync"
	"testing"
	"time"

	"wigeondale/fakes/bubble"
	"wigeondale/fleet"
)

// fewPlaces has a number of places from a moment on, and counts those taken.
type fewPlaces struct {
	mu           sync.Mutex
	left         int
	from         time.Time
	taken, ended int
}

func (p *fewPlaces) take() (release func(), ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.left == 0 || time.Now().Before(p.from) {
		return nil, false
	}
	p.left--
	p.taken++
	return p.end, true
}

func (p *fewPlaces) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.left++
	p.ended++
}

// Guards against a second connection for each request of servers that fall silent, which would take all descriptors.
func TestSilentAttemptWaitsForAPlaceOfItsSearch(t *testing.T) {
	const late = 3 * time.Second
	rows := map[string]struct {
		places   int
		from     time.Duration
		server   silentServer
		attempts int
	}{
		"no place":        {0, 0, silentServer{silentAt: 5, silence: 2 * time.Second}, 1},
		"before the head": {0, 0, silentServer{silentAt: 1, silence: 2 * time.Second}, 1},
		"a place":         {1, 0, silentServer{silentAt: 5, silence: time.Minute}, 2},
		"a place later":   {1, late, silentServer{silentAt: 5, silence: time.Minute}, 2},
		"crash":           {0, 0, silentServer{silentAt: 5, silence: time.Second, crash: errBroken}, 2},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			w := &silentFleet{fakeFleet: fakeFleet{chunks: 9, budget: 9}, servers: []silentServer{row.server}}
			p := &fewPlaces{left: row.places}
			w.wire = func(d *Deps) { d.TakePlace = p.take }
			bubble.Test(t, func(t *testing.T) {
				p.from = time.Now().Add(row.from)
				res, out := w.playFor(t, t.Context(), func(r *Request) { r.Deadline = time.Now().Add(time.Minute) })
				if res.Outcome != fleet.Complete || out.text != chunkText(9) || len(w.opened) != row.attempts {
					t.Errorf("got %s (%v), %q in %d attempts, want %d", res.Outcome, res.Err, out.text, len(w.opened), row.attempts)
				}
				if p.ended != p.taken || p.left != row.places {
					t.Errorf("%d places were taken, %d released", p.taken, p.ended)
				}
			})
		})
	}
}

// Guards against places that are kept by searches that find no server.
func TestSearchWithoutAServerKeepsNoPlace(t *testing.T) {
	w := &silentFleet{
		fakeFleet: fakeFleet{chunks: 9, budget: 9}, pickErr: errNoneLeft,
		servers: []silentServer{{silentAt: 5, silence: 2 * time.Second}},
	}
	p := &fewPlaces{left: 1}
	w.wire = func(d *Deps) { d.TakePlace = p.take }
	bubble.Test(t, func(t *testing.T) {
		go func() {
			time.Sleep(1500 * time.Millisecond)
			p.mu.Lock()
			defer p.mu.Unlock()
			if p.taken == 0 || p.left != 1 {
				t.Errorf("during the search %d places were taken, %d are left", p.taken, p.left)
			}
		}()
		if res, _ := w.playFor(t, t.Context(), nil); res.Outcome != fleet.Complete {
			t.Errorf("got %s", res.Outcome)
		}
	})
}
