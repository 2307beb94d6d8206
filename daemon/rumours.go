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

// rumour says something of one incarnation of a backend server.
type rumour struct {
	Backend     string                `cbor:"1,keyasint"`
	Incarnation string                `cbor:"2,keyasint"`
	Kind        health.PeerReportKind `cbor:"3,keyasint"`
}

// rumours spreads what this router learns of backend servers.
type rumours struct{ mesh *peer.Mesh }

func (r rumours) connect(mon *health.Monitor, dir *directory.Directory, inv *inventory.Inventory) {
	mon.OnChange = func(id, incarnation string, kind health.PeerReportKind) {
		// Not delivered means only that others find out for themselves.
		_ = r.mesh.Flood(floodHealth, rumour{id, incarnation, kind})
	}
	dir.OnLeaving = func(id, incarnation string, source directory.Source) {
		if spreads(source, inv.Duty()) {
			_ = r.mesh.Flood(floodLeaving, rumour{Backend: id, Incarnation: incarnation})
		}
	}
	peer.HandleFlood(r.mesh, floodHealth, func(_ string, v rumour) { mon.HandlePeerReport(v.Backend, v.Incarnation, v.Kind) })
	peer.HandleFlood(r.mesh, floodLeaving, func(_ string, v rumour) {
		dir.MarkLeaving(v.Backend, v.Incarnation, directory.FromPeerReport)
	})
}

// spreads tells whether a router floods that a backend server is leaving. What
// the configuration says spreads with it and can be taken back; the mark that a
// rumour leaves can't. What the VM list says has come by a reader's flood to all
// that don't read it: each of hundreds of routers would flood it once more.
func spreads(source directory.Source, duty inventory.Duty) bool {
	switch source {
	case directory.FromPeerReport, directory.FromIntent:
		return false
	case directory.FromVMList:
		return duty != inventory.NotReader
	}
	return true
}
