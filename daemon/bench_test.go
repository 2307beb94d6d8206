package daemon

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"wigeondale/admission"
	"wigeondale/directory"
	"wigeondale/health"
	"wigeondale/intent"
	"wigeondale/inventory"
	"wigeondale/peer"
)

// BenchmarkRevisionInForce measures what applying a new state costs in addition to
// package intent's own work: the index of API keys, the limits and the leaving VMs,
// with 5,600 client accounts.
func BenchmarkRevisionInForce(b *testing.B) {
	s := intent.NewState()
	for i := range 5600 {
		id := fmt.Sprintf("account-%04d", i)
		s.Accounts[id] = intent.Account{ID: id, KeyHashes: []string{strings.Repeat("ab", 28) + fmt.Sprintf("%08x", i)}, TokensPerSecond: 5000}
	}
	dir := directory.New(nil)
	accs := newAccounts(dir)
	admit := admission.NewController(admission.Config{}, nil, nil)
	b.ReportAllocs()
	for b.Loop() {
		accs.set(s)
		admit.SetLimits(limitsOf(s))
		dir.SetIntent(leavingVMs(s))
	}
}

// BenchmarkLookAt10000 measures one update of the directory from an inventory of 10,000
// backend servers and 830 entry VMs.
func BenchmarkLookAt10000(b *testing.B) {
	mesh, err := peer.New(peer.Config{ID: "r1", Addr: "10.0.0.9:1", FailureDomain: "a"}, []byte(strings.Repeat("k", 32)), nil, nil)
	if err != nil {
		b.Fatal(err)
	}
	inv := inventory.New(inventory.Config{Node: "r1"})
	var d inventory.Delta
	for i := range 10_830 {
		item := inventory.Item{ID: fmt.Sprint("e", i), VM: fmt.Sprint("v", i), Addr: "10.0.0.1:80", Role: "engine"}
		if i >= 10_000 {
			item.Role = inventory.RoleEntry
		}
		d.Records = append(d.Records, inventory.Record{Item: item})
	}
	inv.HandleFlood(d)
	v := &vms{inv: inv, mesh: mesh, mon: health.NewMonitor(health.DefaultPolicy(), nil, nil), drain: &drain{vm: "v9"}}
	dir := directory.New(nil)
	b.ReportAllocs()
	for b.Loop() {
		list, _ := v.Backends(b.Context())
		dir.Update(list, time.Now())
	}
}
