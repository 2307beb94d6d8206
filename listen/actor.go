package listen

// Actor returns the two functions by which a run.Group serves l. It keeps its
// place in the group after a graceful shutdown has begun. Serve returns as soon
// as that begins, while requests are still open; an actor that returned then
// would end the whole group and cut them. It would show as callers whose
// streams end right after the balancer's notice time.
func Actor(l *Server) (serve func() error, stop func(error)) {
	stopped := make(chan struct{})
	serve = func() error {
		if err := l.Serve(); err != nil {
			return err
		}
		<-stopped
		return nil
	}
	stop = func(error) {
		close(stopped)
		// The process ends: nobody is left to tell of a failure to close.
		_ = l.Close()
	}
	return serve, stop
}
