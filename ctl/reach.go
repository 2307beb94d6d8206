package ctl

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"

	"wigeondale/reach"
)

// reachCmd lists which routers are cut off from which services.
type reachCmd struct{}

// reachState is the part of a node's state dump about the links to backend servers.
type reachState struct {
	Reach reach.State `json:"reach"`
}

func (t *tool) reach(ctx context.Context) error {
	var s reachState
	if err := t.api.call(ctx, http.MethodGet, "/debug/dump", nil, &s); err != nil {
		return err
	}
	t.printReach(s)
	return nil
}

func (t *tool) printReach(s reachState) {
	if t.args.JSON {
		t.printJSON(s)
		return
	}
	rows := [][]string{{"SERVICE", "THIS ROUTER", "SINCE", "FAILED BACKENDS"}}
	for _, r := range s.Reach.Services {
		state := "reaches it"
		if r.CutOff {
			state = "cut off"
		}
		rows = append(rows, []string{r.Service, state, elapsed(r.AgeMS), fmt.Sprint(r.Failed)})
	}
	t.table(rows)
	rows = [][]string{{"OTHER ROUTER", "CUT OFF FROM", "REQUESTS PASSED ON TO IT"}}
	routers := slices.Collect(maps.Keys(s.Reach.Reported))
	routers = slices.AppendSeq(routers, maps.Keys(s.Reach.PassedOn))
	slices.Sort(routers)
	for _, id := range slices.Compact(routers) {
		rows = append(rows, []string{id, strings.Join(s.Reach.Reported[id], ","), fmt.Sprint(s.Reach.PassedOn[id])})
	}
	t.table(rows)
}
