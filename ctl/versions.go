package ctl

import (
	"context"
	"fmt"
	"net/http"
	"strconv"

	"wigeondale/binding"
)

// softwareState is the part of a node's state dump about the software versions of services.
type softwareState struct {
	Software []binding.Report `json:"software"`
}

// versions lists the software versions that serve side by side.
func (t *tool) versions(ctx context.Context) error {
	var s softwareState
	if err := t.api.call(ctx, http.MethodGet, "/debug/dump", nil, &s); err != nil {
		return err
	}
	t.printVersions(s)
	return nil
}

func (t *tool) printVersions(s softwareState) {
	if t.args.JSON {
		t.printJSON(s)
		return
	}
	rows := [][]string{{"SERVICE", "VERSION", "LISTED", "LEAVING", "FREE TOKENS", "BEGINS STREAMS", "LAST LISTED", "STREAMS HERE", "RECORDS KEPT"}}
	for _, r := range s.Software {
		last := "never"
		if r.ListedMS >= 0 {
			last = elapsed(max(r.ListedMS, 1)) + " ago"
		}
		rows = append(rows, []string{
			r.Service, r.Version, strconv.Itoa(r.Listed), strconv.Itoa(r.Leaving), strconv.Itoa(r.FreeTokens), fmt.Sprint(r.MayBegin), last,
			strconv.Itoa(r.Own), strconv.Itoa(r.Kept),
		})
	}
	t.table(rows)
}
