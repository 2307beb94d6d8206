package listen

// Actor returns the execute and interrupt functions with which a run.Group runs l. serve
// doesn't return when a graceful shutdown starts, but only when the group is interrupted.
// Server.Serve returns as soon as a shutdown starts, while requests are still open. If
// serve returned then, the group would stop all its actors and abort the requests: streams
// would end right after the notice time of Server.Shutdown.
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
		// An error of Close is ignored, because the process is exiting.
		_ = l.Close()
	}
	return serve, stop
}
