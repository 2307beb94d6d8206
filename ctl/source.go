package ctl

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"os"
	"strconv"
	"strings"

	"wigeondale/intent"
)

// source selects the intents of plan and apply: from a file, or by one of the short
// commands.
type source struct {
	File  string `arg:"-f,--file" help:"JSON file with intents, - for standard input"`
	Force bool   `arg:"--force" help:"allow a plan that leaves a model with no replica"`
	Out   string `arg:"-o,--out" help:"write the plan to this file, for confirm"`

	Grant   *grantCmd   `arg:"subcommand:grant" help:"let a client account use a model"`
	Traffic *trafficCmd `arg:"subcommand:traffic" help:"split a model's traffic over versions"`
	Leave   *leaveCmd   `arg:"subcommand:leave" help:"let VMs leave"`
	Account *accountCmd `arg:"subcommand:account" help:"set a client account"`
}

type grantCmd struct {
	Account  string   `arg:"positional,required"`
	Model    string   `arg:"positional,required"`
	Versions []string `arg:"--version,separate" help:"only this version (may be repeated)"`
	Adapters []string `arg:"--adapter,separate" help:"only this adapter (may be repeated)"`
	Revoke   bool     `arg:"--revoke" help:"take the access away"`
}

type trafficCmd struct {
	Model    string   `arg:"positional,required"`
	Weights  []string `arg:"positional,required" help:"VERSION=PERCENT or VERSION+ADAPTER=PERCENT"`
	Priority string   `arg:"--priority" help:"default class: batch or interactive"`
}

type leaveCmd struct {
	VMs  []string `arg:"positional,required"`
	Stay bool     `arg:"--stay" help:"take the wish back"`
}

type accountCmd struct {
	ID              string  `arg:"positional,required"`
	KeyFile         string  `arg:"--key-file" help:"file with the API key; only its hash leaves this machine"`
	TokensPerSecond float64 `arg:"--tokens-per-second"`
	Burst           float64 `arg:"--burst" help:"tokens"`
	MaxConcurrent   int     `arg:"--max-concurrent"`
	Remove          bool    `arg:"--remove"`
}

func (s *source) intents(stdin io.Reader) (intent.Intents, error) {
	in := intent.Intents{Force: s.Force}
	var err error
	switch {
	case s.Grant != nil:
		in.Changes = s.Grant.changes()
	case s.Traffic != nil:
		in.Changes, err = s.Traffic.changes()
	case s.Leave != nil:
		in.Changes = s.Leave.changes()
	case s.Account != nil:
		in.Changes, err = s.Account.changes()
	case s.File != "":
		err = readJSON(s.File, stdin, &in)
		in.Force = in.Force || s.Force
	default:
		err = Error.New("%w: give -f FILE or one of grant, traffic, leave, account", ErrUsage)
	}
	return in, err
}

func readJSON(file string, stdin io.Reader, v any) error {
	var b []byte
	var err error
	if file == "-" {
		b, err = io.ReadAll(stdin)
	} else {
		b, err = os.ReadFile(file)
	}
	if err != nil {
		return Error.New("%w: %w", ErrUsage, err)
	}
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return Error.New("%w: %s: %w", ErrUsage, file, err)
	}
	return nil
}

func opFor(remove bool) intent.Op {
	if remove {
		return intent.Remove
	}
	return intent.Set
}

func (g *grantCmd) changes() []intent.Change {
	a := &intent.Access{Account: g.Account, Model: g.Model, Versions: g.Versions, Adapters: g.Adapters}
	return []intent.Change{{Kind: intent.KindAccess, Op: opFor(g.Revoke), Access: a}}
}

func (c *trafficCmd) changes() ([]intent.Change, error) {
	t := &intent.Traffic{Model: c.Model, Priority: c.Priority}
	for _, s := range c.Weights {
		name, percent, ok := strings.Cut(s, "=")
		n, err := strconv.Atoi(percent)
		if !ok || err != nil {
			return nil, Error.New("%w: %q: want VERSION=PERCENT", ErrUsage, s)
		}
		version, adapter, _ := strings.Cut(name, "+")
		t.Weights = append(t.Weights, intent.Weight{Version: version, Adapter: adapter, Percent: n})
	}
	return []intent.Change{{Kind: intent.KindTraffic, Op: intent.Set, Traffic: t}}, nil
}

func (c *leaveCmd) changes() []intent.Change {
	var out []intent.Change
	for _, vm := range c.VMs {
		out = append(out, intent.Change{Kind: intent.KindVM, Op: intent.Set, VM: &intent.VMIntent{VM: vm, Leaving: !c.Stay}})
	}
	return out
}

func (c *accountCmd) changes() ([]intent.Change, error) {
	a := &intent.Account{ID: c.ID, TokensPerSecond: c.TokensPerSecond, Burst: c.Burst, MaxConcurrent: c.MaxConcurrent}
	if !c.Remove {
		b, err := os.ReadFile(c.KeyFile)
		if err != nil {
			return nil, Error.New("%w: -key-file: %w", ErrUsage, err)
		}
		sum := sha256.Sum256(bytes.TrimSpace(b))
		a.KeyHashes = []string{hex.EncodeToString(sum[:])}
	}
	return []intent.Change{{Kind: intent.KindAccount, Op: opFor(c.Remove), Account: a}}, nil
}
