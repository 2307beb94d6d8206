// Package signals handles the signals of a daemon: shutdown and reload.
//
// A signal without a handler ends a Go process at once, together with every open request.
// Operators send a hangup to have the settings read again; when the hangup had no handler,
// it aborted all streams of a router.
package signals

import (
	"os"
	"os/signal"
	"syscall"
)

// pendingSignals is the number of signals that are queued while Wait handles an earlier
// one.
const pendingSignals = 4

// Notify returns a channel of the signals that Wait handles.
func Notify() <-chan os.Signal {
	c := make(chan os.Signal, pendingSignals)
	signal.Notify(c, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	return c
}

// Wait returns true at a shutdown signal, and false when stop is closed. At each hangup
// before that it calls reload.
func Wait(signals <-chan os.Signal, stop <-chan struct{}, reload func()) bool {
	for {
		select {
		case <-stop:
			return false
		case s := <-signals:
			if s != syscall.SIGHUP {
				return true
			}
			reload()
		}
	}
}
