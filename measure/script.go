package measure

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"wigeondale/load"
)

// Step is one turn of a fault switch of the stand-ins.
type Step struct {
	At        time.Duration // after the start
	Component string
	Fault     string
	Args      any // as the switch takes them; nil for none
}

// Script turns fault switches at set moments.
type Script []Step

// Play turns the switches of one fleet; the steps are in order of time.
func (s Script) Play(ctx context.Context, start time.Time, r *Running) error {
	for _, step := range s {
		if !load.SleepUntil(ctx, start.Add(step.At)) {
			return Error.Wrap(ctx.Err())
		}
		if err := Turn(ctx, r, step.Component, step.Fault, step.Args); err != nil {
			return err
		}
	}
	return nil
}

// Turn turns one fault switch now.
func Turn(ctx context.Context, r *Running, component, fault string, args any) error {
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
