package hosted

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// told lists what routers tell each other, by the kind of message, and why it may be told while a router is cut off
// from replicas.
var told = map[string]string{
	"floodCrash":               "only if it is not cut off, after a check",
	"floodAnswers":             "replicas of the domain have answered",
	"floodRemoved":             "an answer or a refusal of the replica says so",
	"floodAdopted":             "the replica has answered at its address",
	"floodRollout":             "only answers count, and truncated ones only after a probe that rules out a cut",
	"floodHealth":              "only if it is not cut off, after a check",
	"floodLeaving":             "an answer or the list says so",
	"floodRevision":            "no replica is involved",
	"floodInventory":           "no replica is involved",
	"msgSync":                  "no replica is involved",
	"msgLoads":                 "the requests of this router that are open",
	"floodWaiting":             "only if it is not cut off from the service",
	"backpressure.FloodUpdate": "an answer of the replica says so",
	"quarantine.FloodUpdate":   "crashes are counted only after a probe that rules out a cut",
	"reach.FloodCutOff":        "that it is cut off",
}

// Guards against a new kind of message by which a router that is cut off blames replicas.
func TestEveryMessageIsFitForARouterThatIsCutOff(t *testing.T) {
	sent := regexp.MustCompile(`(?:mesh|m)\.(?:Flood|SendToLinked)\(([A-Za-z.]+),`)
	for _, file := range sourceFiles(t) {
		for _, m := range sent.FindAllStringSubmatch(read(t, file), -1) {
			if told[m[1]] == "" {
				t.Errorf("%s tells other routers %s, which is not in the list", file, m[1])
			}
		}
	}
}

// splitting lists the files that may look at the era or the number of a revision apart, and why.
var splitting = map[string]string{
	"../fleet/revision.go":         "defines them",
	"../infra/kv.go":               "states the era of an item's lease",
	"../infra/etcd.go":             "client of a store without eras",
	"../order/lease.go":            "takes whole revisions as fencing numbers, of a store without eras",
	"../infra/watch.go":            "client of a store without eras",
	"../platform/store.go":         "client of the store: states and reads numbers of its era",
	"../mirror/era.go":             "compares the contents of a copy with what is known of an earlier era",
	"../mirror/state.go":           "finds that a delta is of a later era",
	"../mirror/delta.go":           "finds that a request is of an earlier era",
	"../mirror/read.go":            "finds that the store has come back during or since a read",
	"../mirror/merge.go":           "tells the receiver of a new era",
	"../hosted/hosted.go":          "era of the copy, for the registration",
	"../hosted/peers.go":           "whether the store has this node's entry and the key in this era",
	"../hosted/software.go":        "era of the copy, in which statements hold",
	"../hosted/software_reads.go":  "era of the answer that a statement is read from",
	"../hosted/software_routes.go": "era of the answer that a statement is read from, and the revision before one of that era",
	"../rollout/order.go":          "finds that an order was written again in a later era",
	"../rollout/rollout.go":        "finds that a record is the same in a later era",
}

// Guards against a comparison of the numbers of revisions of different eras.
func TestRevisionsAreComparedWhole(t *testing.T) {
	split := regexp.MustCompile(`\.Era\(\)|\.Number\(\)|RevisionOf\(|int64\([a-zA-Z.]*(?:ModRev|CreateRev|Newest)`)
	found := map[string]bool{}
	for _, file := range sourceFiles(t) {
		found[file] = split.MatchString(read(t, file))
		if found[file] && splitting[file] == "" {
			t.Errorf("%s splits a revision and is not in the list", file)
		}
	}
	for file := range splitting {
		if !found[file] {
			t.Errorf("%s is in the list and splits no revision", file)
		}
	}
}

func sourceFiles(t *testing.T) []string {
	t.Helper()
	all, err := filepath.Glob("../*/*.go")
	if err != nil || len(all) == 0 {
		t.Fatal("no source files", err)
	}
	var out []string
	for _, file := range all {
		if !strings.HasSuffix(file, "_test.go") {
			out = append(out, file)
		}
	}
	return out
}

func read(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}
