package bubble

import (
	"runtime"
	"sync"
	"testing"
	"time"
)

// Guards against a crash of the race detector by timers of one bubble that run at the same moment.
func TestDueTimersOfManyGoroutinesDoNotCrashTheRaceDetector(t *testing.T) {
	for name, wait := range map[string]func(*testing.T){
		"read when due": func(t *testing.T) {
			ticker := time.NewTicker(time.Millisecond)
			defer ticker.Stop()
			time.Sleep(2 * time.Millisecond)
			select {
			case <-ticker.C:
			default:
				t.Error("the ticker isn't due")
			}
		},
		"set to a time that has come": func(*testing.T) {
			fired := make(chan struct{})
			time.AfterFunc(0, func() { close(fired) })
			<-fired
			time.Sleep(time.Millisecond)
		},
	} {
		t.Run(name, func(t *testing.T) {
			Test(t, func(t *testing.T) {
				var all sync.WaitGroup
				for range 200 {
					all.Go(func() {
						for range 100 {
							wait(t)
						}
					})
				}
				all.Wait()
			})
		})
	}
}

// Guards against tests after a bubble, or beside one, that run with the wrong number of processors.
func TestProcessorsAreBackAfterTheLastBubble(t *testing.T) {
	before := runtime.GOMAXPROCS(0)
	var l limiter
	l.limit()
	l.limit()
	l.release()
	if n := runtime.GOMAXPROCS(0); n != 1 {
		t.Errorf("%d processors beside a bubble, want 1", n)
	}
	l.release()
	if n := runtime.GOMAXPROCS(0); n != before {
		t.Errorf("%d processors after the last bubble, want %d", n, before)
	}
}
