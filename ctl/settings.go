package ctl

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"
)

// settingsFile is the section of a node's state dump about its settings file.
type settingsFile struct {
	Node        string // its address
	File        string
	Valid       bool
	ReadAt      time.Time
	Problems    []string
	AtNextStart []string
}

// settings shows for each node whether its next start accepts its settings file.
func (t *tool) settings(ctx context.Context) error {
	var nodes []settingsFile
	var failed error
	for _, addr := range t.api.addrs {
		var dump struct {
			File settingsFile `json:"settings_file"`
		}
		if err := t.api.callAt(ctx, addr, http.MethodGet, "/debug/dump", nil, &dump); err != nil {
			failed = errors.Join(failed, err)
			continue
		}
		dump.File.Node = addr
		nodes = append(nodes, dump.File)
	}
	if t.args.JSON {
		t.printJSON(nodes)
		return failed
	}
	rows := [][]string{{"NODE", "NEXT START ACCEPTS IT", "READ AT", "REFUSED", "AT NEXT START", "FILE"}}
	for _, n := range nodes {
		accepted := "yes"
		if !n.Valid {
			accepted = "no"
		}
		rows = append(rows, []string{n.Node, accepted, n.ReadAt.Format(time.RFC3339), strings.Join(n.Problems, "; "), strings.Join(n.AtNextStart, ","), n.File})
	}
	t.table(rows)
	return failed
}
