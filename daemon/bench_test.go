package daemon

import (
	"fmt"
	"strings"
	"testing"

	"wigeondale/admission"
	"wigeondale/directory"
	"wigeondale/intent"
)

// BenchmarkRevisionInForce measures what a new state costs beside intent's own
// work: the index of API keys, the limits and the leaving VMs, at 5,600 client
// accounts.
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
