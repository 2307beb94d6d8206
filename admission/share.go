package admission

// MaxOvershoot bounds what the parts of a partitioned fleet may use of a limit in total, as a
// multiple of the limit, provided that all parts use the same last known demands. When the
// demand changes between two heartbeats, the total may be higher until the heartbeats are
// received.
const MaxOvershoot = 1.25

// unreachableWeight is the share of an unreachable peer's demand that is still reserved for
// it. The peer may have crashed, or may still run and only be unreachable. Reserving all of
// its demand would penalize the caller, whose requests now arrive here; reserving nothing
// would let every part of a partitioned fleet use the whole limit. With weight w, nodes of
// demands d that all can't reach each other use in sum
//
//	Σ d/(d + w(D-d))  <=  Σ d/(wD)  =  1/w
//
// of the limit, and parts whose members can reach each other use less.
const unreachableWeight = 1 / MaxOvershoot

// idleShare is the demand, as a share of the limit, that is assumed for each node in addition
// to the observed demand, since a node without demand yet must be able to admit its first
// request.
const idleShare = 0.01

// peerTotals sums up the demand of a number of other routers.
type peerTotals struct {
	demand float64
	nodes  int
}

func (o *peerTotals) add(demand float64) {
	o.demand += demand
	o.nodes++
}

// withIdle adds the idle demand that is assumed for each node.
func (o peerTotals) withIdle(idle float64) float64 { return o.demand + float64(o.nodes)*idle }

// LimitShare is this node's part of a fleet-wide limit, computed from its own demand, the
// demand of reachable peers and the last known demand of unreachable ones, all in the unit of
// the limit.
func LimitShare(limit, localDemand float64, reachableDemands, unreachableDemands []float64) float64 {
	var reachable, unreachable peerTotals
	for _, d := range reachableDemands {
		reachable.add(d)
	}
	for _, d := range unreachableDemands {
		unreachable.add(d)
	}
	return limitShare(limit, localDemand, reachable, unreachable)
}

func limitShare(limit, localDemand float64, reachable, unreachable peerTotals) float64 {
	idle := limit * idleShare
	localWithIdle := localDemand + idle
	all := localWithIdle + reachable.withIdle(idle) + unreachableWeight*unreachable.withIdle(idle)
	if all <= 0 {
		return 0
	}
	return limit * localWithIdle / all
}
