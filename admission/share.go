package admission

// MaxOvershoot bounds what a fleet that fell apart may use of a limit, as a
// multiple of it, provided that all parts go by the same last demands. What
// demand changes between two heartbeats comes on top, for as long as it takes
// to be heard.
const MaxOvershoot = 1.25

// lostWeight is the share of a lost peer's demand that is still set aside for
// it. A lost peer is dead or merely cut off. Setting all aside errs against
// the caller, whose requests now come to us; setting nothing aside lets every
// part of a split fleet use the whole limit. With weight w, nodes of demands d
// that all lose each other use in sum
//
//	Σ d/(d + w(D-d))  <=  Σ d/(wD)  =  1/w
//
// of the limit, and parts that still see each other use less.
const lostWeight = 1 / MaxOvershoot

// idleShare is the demand, as a share of the limit, that is imagined for each
// node on top of the observed one: a node without demand yet must be able to
// admit its first request.
const idleShare = 0.01

// others is what a number of other routers ask for together.
type others struct {
	demand float64
	nodes  int
}

func (o *others) add(demand float64) {
	o.demand += demand
	o.nodes++
}

// with adds the demand that is imagined for each.
func (o others) with(idle float64) float64 { return o.demand + float64(o.nodes)*idle }

// LimitShare is this node's part of a fleet-wide limit, from its own demand, that
// of the peers it hears and the last known of those it lost, all in the unit
// of the limit.
func LimitShare(limit, own float64, peers, lost []float64) float64 {
	var heard, gone others
	for _, d := range peers {
		heard.add(d)
	}
	for _, d := range lost {
		gone.add(d)
	}
	return share(limit, own, heard, gone)
}

func share(limit, own float64, heard, lost others) float64 {
	idle := limit * idleShare
	mine := own + idle
	all := mine + heard.with(idle) + lostWeight*lost.with(idle)
	if all <= 0 {
		return 0
	}
	return limit * mine / all
}
