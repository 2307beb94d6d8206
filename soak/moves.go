package soak

import "strings"

// movedService is a second service of engines, to which the route of streams moves. Its engines state a version of their own, so that
// pieces of both services in one stream show.
const (
	movedService = "llm2"
	movedVersion = "moved"
)

// moveFaults lists the faults of Config.Moves.
func (r *platformRun) moveFaults() []fault {
	if !r.cfg.Moves {
		return nil
	}
	var all []fault
	for _, services := range [][]string{{"llm"}, {movedService}, {"llm", movedService}} {
		all = append(all, fault{"streams go to " + strings.Join(services, " and "), func() func() { r.moveStreams(services); return nil }})
	}
	return all
}

// moveStreams makes the route of streams lead to services.
func (r *platformRun) moveStreams(services []string) {
	r.mu.Lock()
	r.streamServices = services
	r.mu.Unlock()
	r.configure()
}

// startMovable starts the engines of the second service.
func (r *platformRun) startMovable() error {
	if !r.cfg.Moves {
		return nil
	}
	for i := range r.cfg.Engines/2 + 1 {
		if _, err := r.startReplica(movedService, i%2, true, movedVersion); err != nil {
			return err
		}
	}
	return nil
}
