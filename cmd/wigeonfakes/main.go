// Command wigeonfakes runs stand-ins for the platform and the backend servers on
// loopback: the key-value service, the VM list, the weight store, model engines and
// other services, each with switches for its faults.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"syscall"

	"github.com/alexflint/go-arg"
	"github.com/oklog/run"

	"wigeondale/fakes/control"
)

const (
	exitFailure = 1
	exitConfig  = 2
)

type arguments struct {
	Config string `arg:"-c,--config,required" help:"configuration, a JSON file"`
	Ports  string `arg:"-p,--ports" help:"file to write the address of each component to, as JSON"`
}

func main() {
	var args arguments
	arg.MustParse(&args)
	set, err := load(args.Config)
	if err != nil {
		exit(exitConfig, err)
	}
	if err := serve(set, args.Ports); err != nil {
		exit(exitFailure, err)
	}
}

func exit(code int, err error) {
	fmt.Fprintln(os.Stderr, "wigeonfakes:", err)
	os.Exit(code)
}

func load(file string) (*control.Set, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	cfg, err := control.Parse(data)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return control.New(cfg)
}

// serve runs the stand-ins until a signal arrives or the control listener gets a stop.
func serve(set *control.Set, portsFile string) error {
	if err := set.Start(); err != nil {
		return err
	}
	defer set.Close()
	if err := writePorts(portsFile, set.Ports()); err != nil {
		return err
	}
	fmt.Printf("ready control=%s\n", set.Addr())

	var group run.Group
	group.Add(run.SignalHandler(context.Background(), os.Interrupt, syscall.SIGTERM))
	cancel := make(chan struct{})
	group.Add(func() error {
		select {
		case <-set.Stopped():
		case <-cancel:
		}
		return nil
	}, func(error) { close(cancel) })
	err := group.Run()
	if errors.Is(err, run.ErrSignal) {
		return nil
	}
	return err
}

func writePorts(file string, ports map[string]string) error {
	if file == "" {
		return nil
	}
	data, err := json.MarshalIndent(ports, "", "  ")
	if err != nil {
		return err
	}
	// The file is renamed into place, so that a reader never sees half of it.
	tmp := file + ".tmp"
	if err := os.WriteFile(tmp, data, 0o644); err != nil {
		return err
	}
	return os.Rename(tmp, file)
}
