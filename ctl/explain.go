package ctl

import (
	"os"

	"wigeondale/explain"
)

// explain runs the explain command, which only reads a log and calls no node.
func (t *tool) explain(cmd *explainCmd) error {
	in := t.env.Stdin
	if cmd.Log != "-" {
		f, err := os.Open(cmd.Log)
		if err != nil {
			return Error.New("%w: %w", ErrUsage, err)
		}
		defer f.Close()
		in = f
	}
	report, err := explain.Read(in, explain.Limits{FirstChunk: cmd.First, ChunkPause: cmd.Pause})
	if err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(report.Write(t.env.Stdout))
}
