package soak

import fakefault "wigeondale/fakes/fault"

// repeatFaults lists the faults of Config.Repeats.
func (r *platformRun) repeatFaults() []fault {
	if !r.cfg.Repeats {
		return nil
	}
	one := fault{"replica sends answers twice", func() func() {
		rep := r.randomReplica()
		troubled := r.checks.ends.trouble.begin(rep)
		rep.Listener().SetRepeats(fakefault.RepeatSome())
		return func() {
			rep.Listener().SetRepeats(nil)
			troubled()
		}
	}}
	return []fault{one, one, one, one} // as often as the other misbehaviours together
}

// repeatFaults lists the faults of Config.Repeats.
func (r *productRun) repeatFaults() []fault {
	if !r.cfg.Repeats {
		return nil
	}
	engine := r.switchFault("engine sends answers twice", r.randomEngine, "repeat", "", "repeat", `{"on":false}`)
	service := r.switchFault("plain service sends answers twice", r.randomService, "repeat", "", "repeat", `{"on":false}`)
	return []fault{engine, engine, service, service}
}
