package measure

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"wigeondale/settings"
)

// Env provides an experiment with its fleets and with the outputs for its results.
type Env struct {
	Mode   Mode
	Fleets []*Running
	Out    string    // folder of CSV and SVG files
	Stdout io.Writer // for tables
	name   string
}

// readyWait is the maximum time that a router may take to become ready.
const readyWait = 20 * time.Second

// Open finds the running fleets of an experiment and waits until each router
// is ready.
func Open(ctx context.Context, x Experiment, mode Mode, dir, out string, stdout io.Writer) (*Env, error) {
	env := &Env{Mode: mode, Out: out, Stdout: stdout, name: x.Name()}
	if err := os.MkdirAll(out, 0o755); err != nil {
		return nil, Error.Wrap(err)
	}
	for _, f := range x.Fleets(mode) {
		r, err := open(ctx, f, filepath.Join(dir, f.Name))
		if err != nil {
			return nil, err
		}
		env.Fleets = append(env.Fleets, r)
	}
	return env, nil
}

func open(ctx context.Context, f Fleet, dir string) (*Running, error) {
	ports, err := readPorts(dir)
	if err != nil {
		return nil, err
	}
	r := &Running{Fleet: f, Control: "http://" + ports["control"], Ports: ports}
	files, err := filepath.Glob(filepath.Join(dir, "router-*.json"))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	for _, file := range files {
		s, err := readListen(file)
		if err != nil {
			return nil, err
		}
		if err := waitReady(ctx, "http://"+s.Listen.Admin.Address+"/readyz"); err != nil {
			return nil, Error.New("fleet %s: %w", f.Name, err)
		}
		r.Endpoints = append(r.Endpoints, "http://"+s.Listen.Caller.Address)
	}
	return r, nil
}

func readListen(file string) (*settings.Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	var s settings.Settings
	return &s, Error.Wrap(json.Unmarshal(data, &s))
}

func waitReady(ctx context.Context, url string) error {
	ctx, cancel := context.WithTimeout(ctx, readyWait)
	defer cancel()
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return Error.Wrap(err)
		}
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode < http.StatusMultipleChoices {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return Error.New("%s: not ready in time: %v", url, err)
		case <-time.After(50 * time.Millisecond):
		}
	}
}
