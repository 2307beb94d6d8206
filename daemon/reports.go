package daemon

import (
	"wigeondale/directory"
	"wigeondale/health"
	"wigeondale/inventory"
	"wigeondale/peer"
)

const (
	floodHealth  = "backend.health"
	floodLeaving = "backend.leaving"
)

// peerReport is another router's report about one incarnation of a backend server. In a
// floodHealth message it reports that the server is suspect, down or alive, as Kind says.
// In a floodLeaving message it reports that the server is leaving, and Kind is not used.
type peerReport struct {
	Backend     string                `cbor:"1,keyasint"`
	Incarnation string                `cbor:"2,keyasint"`
	Kind        health.PeerReportKind `cbor:"3,keyasint"`
}

// peerReports exchanges reports about backend servers with other routers.
type peerReports struct {
	mesh *peer.Mesh
	// unlessCutOff calls report unless this router is cut off from the engines.
	unlessCutOff func(report func())
}

func (r peerReports) connect(mon *health.Monitor, dir *directory.Directory, inv *inventory.Inventory) {
	mon.OnChange = func(id, incarnation string, kind health.PeerReportKind) {
		r.unlessCutOff(func() {
			// A router that misses the report detects the change itself.
			_ = r.mesh.Flood(floodHealth, peerReport{id, incarnation, kind})
		})
	}
	dir.OnLeaving = func(id, incarnation string, source directory.Source) {
		if shouldFlood(source, inv.Duty()) {
			_ = r.mesh.Flood(floodLeaving, peerReport{Backend: id, Incarnation: incarnation})
		}
	}
	peer.HandleFlood(r.mesh, floodHealth, func(_ string, v peerReport) { mon.HandlePeerReport(v.Backend, v.Incarnation, v.Kind) })
	peer.HandleFlood(r.mesh, floodLeaving, func(_ string, v peerReport) {
		dir.MarkLeaving(v.Backend, v.Incarnation, directory.FromPeerReport)
	})
}

// shouldFlood reports whether a router that learns that a backend server is leaving floods
// this to the others. A router that learns it from the configuration does not: the
// configuration reaches all routers by itself, and it can be rolled back, while the mark
// that a peer report sets can't. A router that learns it from the VM list floods it only if
// the router reads the list itself. The routers that don't read the list have received the
// update by a flood: if they flooded it too, each of hundreds of routers would flood it
// once more.
func shouldFlood(source directory.Source, duty inventory.Duty) bool {
	switch source {
	case directory.FromPeerReport, directory.FromIntent:
		return false
	case directory.FromVMList:
		return duty != inventory.NotReader
	}
	return true
}
