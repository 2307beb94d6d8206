package fault

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"time"
)

// ErrUnknown is returned for a fault that the fake does not have.
var ErrUnknown = Error.New("no such fault")

// ErrArgs is returned for invalid arguments.
var ErrArgs = Error.New("bad arguments")

// Args holds the arguments of a fault switch. The documentation of each switch lists the
// arguments that the switch reads.
type Args struct {
	MS      float64 `json:"ms"`      // milliseconds
	N       int     `json:"n"`       // how often the fault applies; 0 means once
	On      *bool   `json:"on"`      // whether to turn the switch on; absent means on
	Request string  `json:"request"` // only this request; empty means any
	Prefix  string  `json:"prefix"`  // only keys with this prefix
	VM      string  `json:"vm"`
	Kind    string  `json:"kind"`    // see Server.Apply
	Limit   string  `json:"limit"`   // see Asks
	Rest    string  `json:"rest"`    // see Asks
	Leaving bool    `json:"leaving"` // see Asks
}

// Duration returns MS as a duration.
func (a Args) Duration() time.Duration { return Millis(a.MS) }

// Enabled reports whether to turn the switch on.
func (a Args) Enabled() bool { return a.On == nil || *a.On }

// Times returns how many times a fault applies: N, but at least 1.
func (a Args) Times() int { return max(a.N, 1) }

// Millis converts a number of milliseconds to a duration.
func Millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// Decode decodes strict JSON: an unknown field or trailing data is an error. Empty data
// leaves v unchanged.
func Decode(data []byte, v any) error {
	if len(bytes.TrimSpace(data)) == 0 {
		return nil
	}
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return errors.Join(ErrArgs, err)
	}
	if _, err := d.Token(); err != io.EOF {
		return errors.Join(ErrArgs, Error.New("data after the JSON value"))
	}
	return nil
}
