package measure

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"wigeondale/fakes/control"
	"wigeondale/intent"
	"wigeondale/settings"
)

// extraAccounts returns the changes that configure the additional client accounts of a fleet.
func extraAccounts(f Fleet) []intent.Change {
	var out []intent.Change
	for _, a := range f.Accounts {
		sum := sha256.Sum256([]byte(a.ID))
		a.KeyHashes = []string{hex.EncodeToString(sum[:])}
		out = append(out,
			intent.Change{Kind: "account", Op: "set", Account: &a},
			intent.Change{Kind: "access", Op: "set", Access: &intent.Access{Account: a.ID, Model: Model}})
	}
	return out
}

// peersFile stores the addresses of the peer listeners between Plan and Settings: the relays
// need them before the routers start.
const peersFile = "peers.json"

func relayID(i int) string { return fmt.Sprintf("peer-%d", i+1) }

func planRelays(f Fleet, dir string) ([]control.RelayConfig, error) {
	if !f.PeerRelays {
		return nil, nil
	}
	targets, err := allocateRelayPorts(f.Routers)
	if err != nil {
		return nil, err
	}
	var out []control.RelayConfig
	for i, target := range targets {
		out = append(out, control.RelayConfig{ID: relayID(i), Target: target})
	}
	return out, writeJSON(filepath.Join(dir, peersFile), targets)
}

// usePeerRelays sets the peer address of router i to the target of its relay, and makes the
// router advertise and dial the addresses of relays only.
func usePeerRelays(f Fleet, s *settings.Settings, i int, dir string, ports map[string]string) error {
	if !f.PeerRelays {
		return nil
	}
	data, err := os.ReadFile(filepath.Join(dir, peersFile))
	if err != nil {
		return Error.Wrap(err)
	}
	var targets []string
	if err := json.Unmarshal(data, &targets); err != nil {
		return Error.Wrap(err)
	}
	s.Listen.Peer.Address = targets[i]
	s.Listen.AdvertisePeer = ports[relayID(i)]
	s.Peers.Seeds = nil
	for j := range f.Routers {
		if j != i {
			s.Peers.Seeds = append(s.Peers.Seeds, ports[relayID(j)])
		}
	}
	return nil
}
