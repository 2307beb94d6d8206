package fault

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"time"
)

// ErrUnknown is returned for a fault that the component does not have.
var ErrUnknown = Error.New("no such fault")

// ErrArgs is returned for arguments that cannot be understood.
var ErrArgs = Error.New("bad arguments")

// Args are the arguments of a fault switch; each switch names those it reads.
type Args struct {
	MS      float64 `json:"ms"`      // milliseconds
	N       int     `json:"n"`       // how many times; 0 means once
	On      *bool   `json:"on"`      // absent means on
	Request string  `json:"request"` // only this request; empty means any
	Prefix  string  `json:"prefix"`  // only keys with this prefix
	VM      string  `json:"vm"`
}

// Duration is MS as a duration.
func (a Args) Duration() time.Duration { return Millis(a.MS) }

// Enabled reports whether the switch is to be turned on.
func (a Args) Enabled() bool { return a.On == nil || *a.On }

// Times is N, at least 1.
func (a Args) Times() int { return max(a.N, 1) }

// Millis turns a number of milliseconds into a duration.
func Millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// Decode reads strict JSON: an unknown field or trailing data is an error. No
// data at all leaves v as it is.
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
