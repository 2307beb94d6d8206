// Package signals turns the signals of a daemon into its shutdown and its reload.
//
// Failure story: a signal that nobody asked for ends a Go process at once, and with
// it every open request. A hangup is what operators send to have settings read
// again; without a handler it cut all streams of a router.
package signals

import (
	"os"
	"os/signal"
	"syscall"

	"wigeondale/event"
	"wigeondale/settings"
)

// pending signals that are kept while one is acted on.
const pending = 4

// Notify returns the signals that Wait understands.
func Notify() <-chan os.Signal {
	c := make(chan os.Signal, pending)
	signal.Notify(c, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	return c
}

// Wait returns true once a signal asks for the end, and false once stop is closed.
// At each hangup until then it checks the settings file again. All settings take
// effect at a start only; the line tells an operator that the file was seen, and
// whether the next start will accept it.
func Wait(signals <-chan os.Signal, stop <-chan struct{}, set *settings.Settings, log *event.Log) bool {
	for {
		select {
		case <-stop:
			return false
		case s := <-signals:
			if s != syscall.SIGHUP {
				return true
			}
			_, err := settings.Load(set.Path())
			log.Emit(event.Reloaded, "valid", err == nil, "err", err, "effect", "at the next start")
		}
	}
}
