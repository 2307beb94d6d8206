package listen

// Actor returns the execute and interrupt functions with which a run.Group runs l.
// serve doesn't return when a graceful shutdown starts, but only when the group is
// interrupted. Server.Serve returns as soon as a shutdown starts, while requests are
// still open. An actor that returned then would stop the entire group and abort the
// requests: streams would end right after the notice time of Server.Shutdown.
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
		// The process is exiting, so an error of Close is of no use.
		_ = l.Close()
	}
	return serve, stop
}
