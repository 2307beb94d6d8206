package scenario

import (
	"encoding/json"
	"fmt"
	"strconv"

	"wigeondale/fakes/vms"

	"github.com/rogpeppe/go-internal/testscript"
)

// This init registers the script commands for the inventory of VMs.
func init() {
	for name, c := range map[string]func(*testscript.TestScript, bool, []string){
		"relist":  wrap(1, relist),      // relist ENGINE: adds the engine to the VM list again
		"resting": wrap(2, waitResting), // resting VARIABLE READER: waits until all routers but one read the VM list; sets VARIABLE to that one and READER to a reader in its failure domain
		"unread":  wrap(2, checkUnread), // unread ROUTER N: waits for N more reads of the VM list and fails if ROUTER made one of these reads
	} {
		commands[name] = c
	}
}

func relist(f *testFleet, _ *testscript.TestScript, args []string) error {
	for _, e := range f.set.Engines {
		if e.ID() != args[0] {
			continue
		}
		entry, err := json.Marshal(vms.Entry{
			ID: e.ID(), VM: "vm-" + e.ID(), Role: "engine", Addr: e.Addr(), FailureDomain: domains[0], ChecksFence: !f.unfenced,
		})
		if err != nil {
			return err
		}
		return f.set.Fault("vms", "add", entry)
	}
	return fmt.Errorf("no engine %q", args[0])
}

func (f *testFleet) inventoryOf(r *router, field string) string {
	data, err := r.get("/debug/dump")
	if err != nil {
		return err.Error()
	}
	return valueAt(data, "inventory."+field)
}

func waitResting(f *testFleet, ts *testscript.TestScript, args []string) error {
	var nonReader int
	err := waitUntil("one router that does not read the VM list", func() bool {
		n := 0
		for i, r := range f.routers {
			switch f.inventoryOf(r, "duty") {
			case "rests":
				nonReader = i
			case "reads":
				n++
			}
		}
		return n == len(f.routers)-1
	})
	if err != nil {
		return err
	}
	ts.Setenv(args[0], f.routers[nonReader].name)
	ts.Setenv(args[1], f.routers[(nonReader+len(domains))%len(f.routers)].name)
	if nonReader%len(domains) != (nonReader+len(domains))%len(f.routers)%len(domains) {
		ts.Setenv(args[1], f.routers[nonReader-len(domains)].name)
	}
	return nil
}

func checkUnread(f *testFleet, _ *testscript.TestScript, args []string) error {
	r, err := f.mustRouter(args[0])
	if err != nil {
		return err
	}
	more, err := strconv.Atoi(args[1])
	if err != nil {
		return err
	}
	readsBefore, allBefore := f.inventoryOf(r, "readings"), f.set.VMs.Calls()
	if err := waitUntil("reads of the VM list", func() bool { return f.set.VMs.Calls() >= allBefore+more }); err != nil {
		return err
	}
	if now := f.inventoryOf(r, "readings"); now != readsBefore {
		return fmt.Errorf("%s read the VM list: %s reads, then %s", r.name, readsBefore, now)
	}
	return nil
}
