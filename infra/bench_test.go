package infra

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
)

// BenchmarkVMListAt10000 measures one read of a VM list of 10,000 backend servers and
// 830 entry VMs. The fake platform copies a prepared response, so its own cost is
// small.
func BenchmarkVMListAt10000(b *testing.B) {
	var groups []targetGroup
	add := func(n int, role string) {
		for i := range n {
			groups = append(groups, targetGroup{
				Targets: []string{fmt.Sprintf("10.%d.%d.%d:8000", len(role), i/250, i%250)},
				Labels: map[string]string{
					labelVM: fmt.Sprintf("vm-%s-%05d", role, i), labelRole: role, labelDomain: fmt.Sprintf("domain-%d", i%9),
					labelState: "live", labelBackend: fmt.Sprintf("%s-%05d", role, i), labelFence: "true",
				},
			})
		}
	}
	add(10_000, "engine")
	add(830, RoleEntry)
	raw, err := json.Marshal(groups)
	if err != nil {
		b.Fatal(err)
	}
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = bytes.NewReader(raw).WriteTo(w) // a short write shows as a list of the wrong length below
	}))
	defer srv.Close()
	list := NewVMList(srv.URL, 0, nil)
	b.ReportAllocs()
	for b.Loop() {
		vms, err := list.List(b.Context())
		if err != nil || len(vms) != len(groups) {
			b.Fatal(len(vms), err)
		}
	}
	b.ReportMetric(float64(len(raw)), "bytes/list")
}
