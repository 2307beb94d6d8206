package measure

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"wigeondale/load"
)

// Step sets or clears one fault of a stand-in at a given time.
type Step struct {
	At        time.Duration // after the start
	Component string
	Fault     string
	Args      any // arguments of the fault, encoded as JSON; nil for none
}

// Script is a list of steps that are sorted by time.
type Script []Step

// Play executes the steps on the stand-ins of one fleet, each at its time after start.
func (s Script) Play(ctx context.Context, start time.Time, r *Running) error {
	for _, step := range s {
		if !load.SleepUntil(ctx, start.Add(step.At)) {
			return Error.Wrap(ctx.Err())
		}
		if err := SetFault(ctx, r, step.Component, step.Fault, step.Args); err != nil {
			return err
		}
	}
	return nil
}

// SetFault sets or clears one fault of a stand-in now.
func SetFault(ctx context.Context, r *Running, component, fault string, args any) error {
	var body []byte
	if args != nil {
		var err error
		if body, err = json.Marshal(args); err != nil {
			return Error.Wrap(err)
		}
	}
	url := r.Control + "/control/" + component + "/" + fault
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return Error.Wrap(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return Error.Wrap(err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return Error.New("fault %s of %s: status %d", fault, component, resp.StatusCode)
	}
	return nil
}
