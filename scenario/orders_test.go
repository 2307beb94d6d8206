package scenario

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"

	"wigeondale/fleet"
	"wigeondale/intent"

	"github.com/rogpeppe/go-internal/testscript"
)

func waitHolder(f *testFleet, ts *testscript.TestScript, args []string) error {
	return waitUntil("a router that holds the lease for orders", func() bool {
		for _, r := range f.routers {
			if slices.Contains(args[1:], r.name) {
				continue
			}
			data, err := r.get("/debug/dump?section=orders")
			if err == nil && valueAt(data, "holding") == "true" {
				ts.Setenv(args[0], r.name)
				return true
			}
		}
		return false
	})
}

func waitOrderRound(f *testFleet, _ *testscript.TestScript, args []string) error {
	r, err := f.mustRouter(args[0])
	if err != nil {
		return err
	}
	first := ""
	return waitUntil("a round of "+r.name, func() bool {
		data, err := r.get("/debug/dump?section=orders")
		if err != nil {
			return false
		}
		rounds := valueAt(data, "rounds")
		if first == "" {
			first = rounds
		}
		return rounds != first
	})
}

func (f *testFleet) orders(engine string) ([]byte, error) {
	return get("http://" + f.set.Ports()[engine] + "/v1/orders")
}

func engineStatus(f *testFleet, _ *testscript.TestScript, args []string) error {
	last := ""
	err := waitUntil("order status "+strings.Join(args, " "), func() bool {
		data, err := f.orders(args[0])
		if err != nil {
			last = err.Error()
			return false
		}
		last = valueAt(data, args[1])
		return slices.Contains(strings.Split(args[2], "|"), last)
	})
	if err != nil {
		return fmt.Errorf("%w: it is %s", err, last)
	}
	return nil
}

// checkFencesRise fails if an engine executed an order after it had executed another order
// with a higher fencing number. It may run at any time after the fault: an order that a
// former lease holder sent late stays on the engine's record even after later orders have
// corrected its effect.
func checkFencesRise(f *testFleet, _ *testscript.TestScript, _ []string) error {
	orders := 0
	for _, e := range f.set.Record().Engines {
		orders += len(e.Fences)
		if !slices.IsSorted(e.Fences) {
			return fmt.Errorf("%s executed orders with the fencing numbers %v", e.Engine, e.Fences)
		}
	}
	if orders == 0 {
		return errors.New("no engine executed an order")
	}
	return nil
}

func place(f *testFleet, ts *testscript.TestScript, args []string) error {
	p := intent.Placement{Backend: args[1]}
	for _, version := range args[2:] {
		p.Desired = append(p.Desired, fleet.ModelRef{Model: model, Version: version})
	}
	data, err := json.Marshal(intent.Intents{Changes: []intent.Change{{Kind: intent.KindPlacement, Op: intent.Set, Placement: &p}}})
	if err != nil {
		return err
	}
	return os.WriteFile(ts.MkAbs(args[0]), data, 0o600)
}

func atMostLoads(f *testFleet, _ *testscript.TestScript, args []string) error {
	if got := strconv.Itoa(f.set.Weights.MaxConcurrentLoads()); got > args[0] {
		return fmt.Errorf("%s loads ran at once, want at most %s", got, args[0])
	}
	return nil
}

func servedVersions(f *testFleet, _ *testscript.TestScript, args []string) error {
	return waitUntil(strings.Join(args, " engines: "), func() bool {
		n := 0
		for _, e := range f.set.Engines {
			data, err := f.orders(e.ID())
			if err == nil && strings.Contains(valueAt(data, "actual"), strconv.Quote(args[0])) {
				n++
			}
		}
		least, open := strings.CutSuffix(args[1], "+")
		want, err := strconv.Atoi(least)
		return err == nil && (n == want || open && n > want)
	})
}
