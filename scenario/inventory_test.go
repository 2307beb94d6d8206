package scenario

import (
	"encoding/json"
	"fmt"
	"strconv"

	"wigeondale/fakes/vms"

	"github.com/rogpeppe/go-internal/testscript"
)

// Commands of the scripts on the inventory of VMs.
func init() {
	for name, c := range map[string]func(*testscript.TestScript, bool, []string){
		"relist":  wrap(1, relist),  // relist ENGINE: the VM list shows it again
		"resting": wrap(2, resting), // resting VARIABLE READER: waits until all routers but one read the list; sets that one and another of its failure domain
		"unread":  wrap(2, unread),  // unread ROUTER N: waits for N more readings of the list and fails if one was this router's
	} {
		commands[name] = c
	}
}

func relist(b *bench, _ *testscript.TestScript, args []string) error {
	for _, e := range b.set.Engines {
		if e.ID() != args[0] {
			continue
		}
		entry, err := json.Marshal(vms.Entry{
			ID: e.ID(), VM: "vm-" + e.ID(), Role: "engine", Addr: e.Addr(), FailureDomain: domains[0], ChecksFence: !b.unfenced,
		})
		if err != nil {
			return err
		}
		return b.set.Fault("vms", "add", entry)
	}
	return fmt.Errorf("no engine %q", args[0])
}

func (b *bench) inventoryOf(r *router, field string) string {
	data, err := r.get("/debug/dump")
	if err != nil {
		return err.Error()
	}
	return valueAt(data, "inventory."+field)
}

func resting(b *bench, ts *testscript.TestScript, args []string) error {
	var rest int
	err := waitUntil("one router that rests", func() bool {
		n := 0
		for i, r := range b.routers {
			switch b.inventoryOf(r, "duty") {
			case "rests":
				rest = i
			case "reads":
				n++
			}
		}
		return n == len(b.routers)-1
	})
	if err != nil {
		return err
	}
	ts.Setenv(args[0], b.routers[rest].name)
	ts.Setenv(args[1], b.routers[(rest+len(domains))%len(b.routers)].name)
	if rest%len(domains) != (rest+len(domains))%len(b.routers)%len(domains) {
		ts.Setenv(args[1], b.routers[rest-len(domains)].name)
	}
	return nil
}

func unread(b *bench, _ *testscript.TestScript, args []string) error {
	r, err := b.mustRouter(args[0])
	if err != nil {
		return err
	}
	more, err := strconv.Atoi(args[1])
	if err != nil {
		return err
	}
	own, all := b.inventoryOf(r, "readings"), b.set.VMs.Calls()
	if err := waitUntil("readings of the list", func() bool { return b.set.VMs.Calls() >= all+more }); err != nil {
		return err
	}
	if now := b.inventoryOf(r, "readings"); now != own {
		return fmt.Errorf("%s read the list: %s readings, then %s", r.name, own, now)
	}
	return nil
}
