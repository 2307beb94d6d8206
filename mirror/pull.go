package mirror

import "wigeondale/event"

// DeltaFunc puts a question to one neighbour.
type DeltaFunc func(DeltaRequest) (Delta, error)

// Pull asks a neighbour until it has nothing newer, and takes in what it says.
//
// Where the neighbour doesn't know the changes since, everything is asked for only
// while the store is away: the store's own pages cost no node its line. A router
// that has just started knows no removals from before, so that after a start of many
// at once each would ask its neighbours for everything.
func (m *Mirror) Pull(from string, ask DeltaFunc) error {
	for {
		before := m.Newest()
		d, err := collect(ask, DeltaRequest{After: before, All: m.lost.Load()})
		if err != nil {
			return err
		}
		if d.RemovalsUnknown {
			m.CatchUp()
			return nil
		}
		m.Merge(d)
		now := m.Newest()
		if now == before {
			return nil
		}
		m.cfg.Log.Emit(event.StoreFromPeer, "peer", from, "newest", now, "before", before,
			"items", len(d.Items), "removed", len(d.Removed), "full", d.Full)
	}
}

// collect joins the pages of an answer that has several. What changes meanwhile is
// newer than the first page, so that the next question brings it.
func collect(ask DeltaFunc, q DeltaRequest) (Delta, error) {
	all, err := ask(q)
	for d := all; err == nil && d.More && len(d.Items) > 0; {
		q.Last = d.Items[len(d.Items)-1].Key
		if d, err = ask(q); err == nil {
			all.Items = append(all.Items, d.Items...)
		}
	}
	return all, err
}
