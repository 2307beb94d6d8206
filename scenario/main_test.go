// Package scenario runs whole fleets as real processes under scripted
// failures. A script names components and events; every wait ends on an event,
// and the one long deadline means only that something hangs.
package scenario

import (
	"context"
	"os"
	"testing"
	"time"

	"wigeondale/ctl"
	"wigeondale/daemon"
	"wigeondale/load"

	"github.com/rogpeppe/go-internal/testscript"
)

const (
	// hung bounds every wait. It is no figure: a wait that reaches it will
	// never end.
	hung = 60 * time.Second
	// poll is the pause between two looks at something that sends no event.
	poll = 10 * time.Millisecond
	// atOnce is how many fleets run side by side.
	atOnce = 4
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"wigeond": func() { os.Exit(daemon.Main(os.Args[1:], os.Stdout, os.Stderr)) },
		"wigeonctl": func() {
			os.Exit(ctl.Main(context.Background(), os.Args[1:], ctl.Env{
				Stdin: os.Stdin, Stdout: os.Stdout, Stderr: os.Stderr, Getenv: os.Getenv, Stream: ctl.Stream,
			}))
		},
		"wigeonload": func() { os.Exit(load.Main(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

type benchKey struct{}

func TestScenarios(t *testing.T) {
	slots := make(chan struct{}, atOnce)
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			slots <- struct{}{}
			b := newBench(env)
			env.Values[benchKey{}] = b
			env.Defer(func() {
				b.close()
				<-slots
			})
			return nil
		},
		Cmds: commands,
	})
}
