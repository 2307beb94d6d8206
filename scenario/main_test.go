// Package scenario tests fleets of real router processes under scripted failures. A script
// names components and events. Every wait ends with an event; the one long deadline that
// bounds them all only detects a hang.
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
	// hangTimeout bounds every wait. It is far above any expected duration: a wait that reaches it
	// would not end by itself.
	hangTimeout = 60 * time.Second
	// pollInterval is the interval at which a state that sends no event is checked.
	pollInterval = 10 * time.Millisecond
	// maxParallel is the maximum number of fleets that run at the same time.
	maxParallel = 4
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

type testFleetKey struct{}

func TestScenarios(t *testing.T) {
	slots := make(chan struct{}, maxParallel)
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			slots <- struct{}{}
			f := newTestFleet(env)
			env.Values[testFleetKey{}] = f
			env.Defer(func() {
				f.close()
				<-slots
			})
			return nil
		},
		Cmds: commands,
	})
}
