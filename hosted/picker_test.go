package hosted

import (
	"fmt"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"wigeondale/directory"
	"wigeondale/fleet"
	"wigeondale/health"
	"wigeondale/route"
	"wigeondale/settings"
)

// engineList returns n engines of the service llm, alternating between the failure domains.
func engineList(n, domains int) []fleet.Backend {
	var list []fleet.Backend
	for i := range n {
		id := fmt.Sprint("e", i)
		list = append(list, fleet.Backend{
			ID: id, VM: id, Kind: fleet.Service, Service: "llm", FailureDomain: fmt.Sprint("d", i%domains),
		})
	}
	return list
}

// pickerOf returns the picker of a router that knows these engines, each with memory for the given
// number of tokens.
func pickerOf(t testing.TB, list []fleet.Backend, memory int) *picker {
	t.Helper()
	h := &settings.Hosted{}
	h.SetDefaults()
	dir, mon := directory.New(nil), health.NewMonitor(policyOf(h), nil, nil)
	for _, b := range list {
		mon.SetFailureDomain(b.ID, b.Service, b.FailureDomain)
	}
	dir.Update(list, time.Now())
	table := &route.Current{}
	table.Install(route.NewTable(&route.Config{Version: 1, Services: []route.Service{{Name: "llm", Engine: true, Memory: memory}}}))
	queryLoads, err := newLoadQuerier(nil, dir, metrics.NewSet())
	if err != nil {
		t.Fatal(err)
	}
	p, err := newPicker(table, dir, mon, nil, queryLoads, nil)
	if err != nil {
		t.Fatal(err)
	}
	return p
}
