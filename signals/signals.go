// Package signals handles the signals of a daemon: shutdown and reload.
//
// A signal without a handler ends a Go process at once, together with every open request.
// Operators send a hangup to have the settings read again; when the hangup had no handler,
// it aborted all streams of a router.
//
// Hangups and shutdown signals have a queue each: the Go runtime drops a signal whose queue is full, and a shutdown signal that is
// dropped among hangups lets the process run on until it is killed with its open requests.
package signals

import (
	"os"
	"os/signal"
	"syscall"
)

// Received are the signals that Wait handles.
type Received struct {
	Shutdown <-chan os.Signal
	Reload   <-chan os.Signal
}

// Notify returns the signals of this process from now on. Of each kind one is kept while an earlier one is handled: further ones say
// nothing more.
func Notify() Received {
	shutdown, reload := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(shutdown, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(reload, syscall.SIGHUP)
	return Received{Shutdown: shutdown, Reload: reload}
}

// Wait returns true at a shutdown signal, and false when stop is closed. At each reload signal
// before that it calls reload, and doesn't wait for it: reading a file may take long.
func Wait(signals Received, stop <-chan struct{}, reload func()) bool {
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		for {
			select {
			case <-signals.Reload:
				reload()
			case <-ended:
				return
			}
		}
	}()
	select {
	case <-stop:
		return false
	case <-signals.Shutdown:
		return true
	}
}
