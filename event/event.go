// Package event writes numbered log events through klog. The numbers are an interface:
// operators set alerts on them, and docs/EVENTS.md explains each.
package event

import (
	"strings"

	"k8s.io/klog/v2"
)

// Log writes the events of one node. A nil Log drops them, so that tests and code
// without a log need none.
type Log struct {
	logger klog.Logger
	byID   map[ID]Entry
}

// New returns a Log that adds the node's name to each event.
func New(node string) *Log {
	l := &Log{
		logger: klog.Background().WithValues("node", node),
		byID:   make(map[ID]Entry, len(Catalogue)),
	}
	for _, e := range Catalogue {
		l.byID[e.ID] = e
	}
	return l
}

// Emit writes event id with alternating keys and values. The values must not contain
// secrets or the text of prompts or answers.
func (l *Log) Emit(id ID, kv ...any) {
	if l == nil {
		return
	}
	e, ok := l.byID[id]
	if !ok {
		e = Entry{ID: id, Name: "unlisted", Severity: Error}
	}
	args := append([]any{"event", int(id)}, kv...)
	for i, v := range args {
		if err, isErr := v.(error); isErr {
			args[i] = oneLine(err)
		}
	}
	switch e.Severity {
	case Error:
		l.logger.Error(nil, e.Name, args...)
	case Warning:
		l.logger.Info("warning: "+e.Name, args...)
	default:
		l.logger.Info(e.Name, args...)
	}
}

// oneLine joins the lines of a joined error, so that an event stays on one line.
func oneLine(err error) string { return strings.ReplaceAll(err.Error(), "\n", "; ") }
