package hosted

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"wigeondale/quarantine"
)

// heldDigest returns a digest for a test.
func heldDigest(t *testing.T, hex string) quarantine.Digest {
	t.Helper()
	d, err := quarantine.ParseDigest(strings.Repeat(hex, 16))
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// Guards against a missing record being taken for a lift: a store that is restored from an older copy may not have the record.
func TestMissingRecordLiftsNothing(t *testing.T) {
	f := newFleet(t)
	f.configure(key)
	n := f.startNode("n1")
	await(t, "readiness of the table", func() bool { return n.table.Get() != nil })
	d := heldDigest(t, "ab")
	n.guard.Hold(quarantine.HoldUpdate{Digest: d, Account: "acc", RemainingMS: 60_000}, "test")
	record := holdPrefix + d.String()
	f.store.PutJSON(record, holdRecord{Account: "acc", UntilUnixMS: time.Now().Add(time.Minute).UnixMilli()})
	await(t, "the record", func() bool { return n.holds.isStored(d) })
	f.store.Delete(record)
	await(t, "the removal", func() bool { return !n.holds.isStored(d) })
	if n.quarantined() != 1 {
		t.Error("the request is not quarantined any more")
	}
	await(t, "the record to be written again", func() bool { _, ok := f.store.Get(record); return ok })
}

// Guards against the hold of a part ending because its record is missing, and against a lift having no effect after the
// store has restored the record of the hold from an older copy.
func TestLiftOutlivesTheReturnOfTheStore(t *testing.T) {
	f := newFleet(t)
	f.configure(key)
	n := f.startNode("n1")
	await(t, "readiness of the table", func() bool { return n.table.Get() != nil })
	d := heldDigest(t, "cd")
	n.guard.HoldPart(quarantine.PartHold{Digest: d, Accounts: []string{"acc"}, Models: []string{""}, RemainingMS: 60_000}, "test")
	record := partHoldPrefix + d.String()
	await(t, "the record", func() bool { _, ok := f.store.Get(record); return ok })
	held, _ := f.store.Get(record)
	f.store.Delete(record)
	await(t, "the record to be written again", func() bool { _, ok := f.store.Get(record); return ok })

	n.guard.LiftPart(d, "ana")
	await(t, "the record of the lift", func() bool { _, ok := f.store.Get(liftPrefix + d.String()); return ok })
	await(t, "the removal of the record", func() bool { _, ok := f.store.Get(record); return !ok })
	f.store.Put(record, held.Value)
	f.store.Delete(liftPrefix + d.String())
	await(t, "the lift to be written again", func() bool { _, ok := f.store.Get(liftPrefix + d.String()); return ok })
	if len(n.guard.PartHolds()) != 0 {
		t.Error("the part is quarantined again after its lift")
	}
	await(t, "the second removal of the record", func() bool { _, ok := f.store.Get(record); return !ok })
}

// Guards against starting nodes that send quarantined requests because the store has no records of the holds, and because
// they ask each other.
func TestStartingNodeLearnsHoldsFromOthers(t *testing.T) {
	f := newFleet(t)
	f.configure(key)
	n := f.startNode("n1")
	await(t, "readiness of the table", func() bool { return n.table.Get() != nil })
	d := heldDigest(t, "ef")
	const unreadable = "not a record" // takes the key of the record, so that no node can write it
	f.store.Put(partHoldPrefix+d.String(), []byte(unreadable))
	n.guard.HoldPart(quarantine.PartHold{Digest: d, Accounts: []string{"acc"}, Models: []string{""}, RemainingMS: 60_000}, "test")
	var others []*testNode
	for i := range 5 {
		others = append(others, f.startNode(fmt.Sprint("n", 2+i)))
	}
	for _, other := range others {
		await(t, "the hold", func() bool { return len(other.guard.PartHolds()) == 1 })
	}
	if item, _ := f.store.Get(partHoldPrefix + d.String()); string(item.Value) != unreadable {
		t.Error("the store had the record, so the test shows nothing")
	}
}
