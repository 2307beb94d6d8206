package mirror

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"wigeondale/event"
	"wigeondale/fleet"
	"wigeondale/infra"
)

// Store is the part of the platform's store that a Mirror reads.
type Store interface {
	// Page reads the next page of the items under prefix whose keys come after the given
	// key, in the order of their keys; an empty key reads the first page. If stale is
	// true, the data may be seconds old; the store can serve such data at far less cost.
	Page(ctx context.Context, prefix, after string, stale bool) (infra.Page, error)
	// Changes returns the changes under prefix that were made after the revision after,
	// and the revision up to which they are complete. If there are none yet, Changes waits
	// up to wait for one. It fails with infra.ErrCompacted if the store no longer has
	// these changes.
	Changes(ctx context.Context, prefix string, after fleet.Revision, wait time.Duration) (events []infra.WatchEvent, at fleet.Revision, err error)
	// Reset drops all connections, so that the next call opens a new one.
	Reset()
}

// Receiver is notified of each item that the Mirror adds, changes or removes in its copy.
// The Mirror calls its methods one at a time and with its lock held, so these methods must
// not call the Mirror.
type Receiver interface {
	// Put is called for a new or changed item.
	Put(v infra.Value)
	// Removed is called when the item with this key has been removed from the Mirror's
	// copy. For an unconfirmed removal, Removed is called only if the item has not been
	// written again by the end of the unconfirmed removal.
	Removed(key string)
	// Dropped is called when the filter no longer keeps the item with this key. The item still
	// exists, but this node gets no more changes of it.
	Dropped(key string)
	// BatchDone reports the end of a batch of Put and Removed calls. A receiver uses it to
	// act once on all changes of the batch, instead of once on each change.
	BatchDone()
}

// Config configures a Mirror. Zero durations mean the defaults.
type Config struct {
	Prefix string
	// Parts are the prefixes, under Prefix, of which a read of all items reads the pages, one
	// after the other; nil means Prefix alone.
	Parts []string
	// Wait is how long one call of the store may wait for a change. A call that sees no
	// change returns after Wait and shows that the reader's state is still current. So Wait
	// bounds the age of that state, and of the state that the reader sends to other nodes.
	Wait time.Duration
	// Slack is the time that the response of a call may take in addition to Wait; a call
	// that takes longer counts as failed.
	Slack time.Duration
	// Pause is the time between two calls of the store. It makes changes that come in
	// quick succession arrive in one batch.
	Pause time.Duration
	// Timeout bounds the read of one page. After each read that timed out it is doubled, up to
	// maxTimeoutFactor times Timeout: if many nodes read at once, the store's network link may
	// take longer for all of them, and none would ever succeed.
	Timeout time.Duration
	// PageMaxAge is how long after the start of a read of all items the pages of that read
	// may be used, if an attempt failed and a later attempt continues the read. PageMaxAge
	// must be less than the time for which the store keeps its history of changes, because
	// the changes made since the first page are fetched from that history.
	PageMaxAge time.Duration
	// ConfirmAfter is the time after an outage of the store during which an item that is
	// missing because of the outage may be written again by its owner. During that time,
	// the removal of a missing item is unconfirmed.
	ConfirmAfter time.Duration
	// Newer reports whether an item that a store lists after it has come back from a copy is newer than
	// the one that this node knows, by their contents. Nil means that contents can't tell.
	Newer func(known, listed infra.Value) bool
	// OnReturn, if set, is called when this node knows that the store has come back from a copy. lost is
	// what the store lacks under OwnPrefix, if this node itself has read the store. OnReturn must not
	// block.
	OnReturn  func(lost []Lost)
	OwnPrefix string
	// IsReader reports whether this node reads the store; nil means always. A node that
	// has not yet received all items once reads the store in any case.
	IsReader func() bool
	// Bulk is the last of Parts, whose items may be too many for each node to read from the
	// store when it starts. If they are more than one page, or if LargeFleet reports, by
	// the items read before them, that many nodes would read them, only the nodes for which ReadsBulk is true do; the others get
	// them from their neighbours. An empty Bulk means that each node reads everything.
	Bulk       string
	ReadsBulk  func() bool
	LargeFleet func(items []infra.Value) bool
	// PeerPrefixes are the prefixes of the items by which a node finds its neighbours. While it
	// waits for its neighbours and NeedsPeers reports that it knows none, it reads one page of
	// each, up to the first prefix that has no items.
	PeerPrefixes []string
	NeedsPeers   func() bool
	// FilterKey is the key of the item that defines, through NewFilter, which items this
	// node keeps. If FilterKey is empty, it keeps all items.
	FilterKey string
	NewFilter func(data []byte) (Filter, error)
	// OnFullRead, if set, is called with all items that a read of the whole store returned,
	// before any of them is used. It may write the item under FilterKey.
	OnFullRead func(ctx context.Context, items []infra.Value)
	// InOrder is called with true before the receiver gets changes as the store's watch returned them, each and in order, and with
	// false after. Otherwise an item may have changed several times since the receiver last got it. It may be nil.
	InOrder func(inOrder bool)
	// OnUpdate, if set, is called whenever this node has all changes up to a newer
	// revision; it must not block.
	OnUpdate func()
	Log      *event.Log
	Set      *metrics.Set
}

// Defaults of Config.
const (
	defaultWait         = 800 * time.Millisecond
	defaultSlack        = 400 * time.Millisecond
	defaultPause        = 300 * time.Millisecond
	defaultTimeout      = 1500 * time.Millisecond
	maxTimeoutFactor    = 4
	defaultKeep         = 10 * time.Second
	defaultConfirmAfter = 2 * time.Second
	// bulkWait and a random part of bulkSpread are how long a node waits for its neighbours to
	// send the items under Bulk, before it reads them from the store itself.
	bulkWait   = 6 * time.Second
	bulkSpread = 12 * time.Second
	// bulkChanges is the number of changes in one response of the store that a node without
	// neighbours doesn't follow: so many items are written when a large fleet starts.
	bulkChanges = 200
	// peersPoll is how often a node that waits looks for neighbours in the store. After its
	// first read a node without neighbours does so for peersWait, before it follows all changes:
	// when a large fleet starts for the first time, thousands of replicas register meanwhile.
	peersPoll = 300 * time.Millisecond
	peersWait = time.Second
	// idlePoll is how often a node that doesn't read the store checks whether it has
	// to.
	idlePoll = 100 * time.Millisecond
	minRetry = 100 * time.Millisecond
	maxRetry = 800 * time.Millisecond
)

func (c Config) withDefaults() Config {
	set := func(d *time.Duration, v time.Duration) {
		if *d <= 0 {
			*d = v
		}
	}
	set(&c.Wait, defaultWait)
	set(&c.Slack, defaultSlack)
	set(&c.Pause, defaultPause)
	set(&c.Timeout, defaultTimeout)
	set(&c.PageMaxAge, defaultKeep)
	set(&c.ConfirmAfter, defaultConfirmAfter)
	if c.IsReader == nil {
		c.IsReader = func() bool { return true }
	}
	if c.ReadsBulk == nil {
		c.ReadsBulk = func() bool { return true }
	}
	if c.LargeFleet == nil {
		c.LargeFleet = func([]infra.Value) bool { return false }
	}
	if c.Parts == nil {
		c.Parts = []string{c.Prefix}
	}
	if c.NeedsPeers == nil {
		c.NeedsPeers = func() bool { return false }
	}
	if c.OnReturn == nil {
		c.OnReturn = func([]Lost) {}
	}
	if c.Newer == nil {
		c.Newer = neverNewer
	}
	if c.InOrder == nil {
		c.InOrder = func(bool) {}
	}
	if c.OnFullRead == nil {
		c.OnFullRead = func(context.Context, []infra.Value) {}
	}
	if c.OnUpdate == nil {
		c.OnUpdate = func() {}
	}
	if c.Set == nil {
		c.Set = metrics.NewSet()
	}
	return c
}
