package generation

// errNoPlace is the error of a search that waits because the limit of connections is reached.
var errNoPlace = Error.New("no connection is left for an attempt beside a silent one")

// takePlace takes the place of a search beside a kept attempt, unless it has one. Without it, backend servers that fall silent under
// many requests would take two descriptors for each, and none would be left to accept clients.
func (x *run) takePlace() bool {
	if x.kept == nil || x.TakePlace == nil || x.releasePlace != nil {
		return true
	}
	release, ok := x.TakePlace()
	if ok {
		x.releasePlace = release
	}
	return ok
}

func (x *run) endPlace() {
	if x.releasePlace != nil {
		x.releasePlace()
		x.releasePlace = nil
	}
}
