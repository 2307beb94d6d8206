// Package relay is a TCP relay between two processes. With the switches cut, cut-in and
// cut-out, tests stop the bytes in both directions or in one, to separate two processes
// that both keep running.
package relay

import (
	"encoding/json"
	"io"
	"net"
	"time"

	"github.com/zeebo/errs"

	"wigeondale/fakes/fault"
)

// Error is the class of this package's errors.
var Error = errs.Class("relay")

const dialTimeout = 5 * time.Second

// Relay forwards the bytes of each connection to the relay's target and back.
type Relay struct {
	id       string
	target   string
	listener *fault.Listener
}

// New prepares a relay that listens on the address listen and forwards to the address target.
func New(id, listen, target string) *Relay {
	return &Relay{id: id, target: target, listener: fault.NewListener(listen)}
}

// ID returns the relay's name at the control listener.
func (r *Relay) ID() string { return r.id }

// Addr returns the address that clients connect to.
func (r *Relay) Addr() string { return r.listener.Address() }

// Start starts accepting connections.
func (r *Relay) Start() error {
	ln, err := r.listener.Start()
	if err != nil {
		return Error.Wrap(err)
	}
	if ln != nil {
		go r.accept(ln)
	}
	return nil
}

// Close resets all connections and stops accepting.
func (r *Relay) Close() { r.listener.Kill() }

// Fault turns a switch: cut, cut-in, cut-out, heal, reset, delay {ms}, kill or start.
func (r *Relay) Fault(name string, raw json.RawMessage) error {
	var args fault.Args
	if err := fault.Decode(raw, &args); err != nil {
		return err
	}
	switch name {
	case "cut":
		r.listener.Cut()
	case "cut-in":
		r.listener.CutIn()
	case "cut-out":
		r.listener.CutOut()
	case "reset":
		r.listener.Reset()
	case "delay":
		r.listener.Delay(args.Duration())
	case "heal":
		r.listener.Heal()
	case "kill":
		r.Close()
	case "start":
		return r.Start()
	default:
		return fault.ErrUnknown
	}
	return nil
}

func (r *Relay) accept(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go r.forward(c)
	}
}

// forward copies both directions of a connection, and closes both connections when either
// direction ends.
func (r *Relay) forward(c net.Conn) {
	defer c.Close()
	t, err := net.DialTimeout("tcp", r.target, dialTimeout)
	if err != nil {
		return
	}
	defer t.Close()
	done := make(chan struct{}, 2)
	copyOne := func(dst, src net.Conn) {
		io.Copy(dst, src)
		done <- struct{}{}
	}
	go copyOne(t, c)
	go copyOne(c, t)
	<-done
}
