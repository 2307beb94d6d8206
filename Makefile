GO ?= go

build:
	$(GO) build -o bin/ ./cmd/...

demo: build
	./scripts/demo.sh

# Properties start from a fixed seed, so that the verdict is the same each run.
# Other seeds: go test ./once -rapid.seed=0 -rapid.checks=1000
RAPID = $(shell $(GO) list -f '{{range .TestImports}}{{if eq . "pgregory.net/rapid"}}{{$$.ImportPath}}{{end}}{{end}}{{range .XTestImports}}{{if eq . "pgregory.net/rapid"}}{{$$.ImportPath}}{{end}}{{end}}' ./...)

# SKIP names tests to pass over, separated by |; TEST/SUBTEST names one subtest. Each level is
# anchored, so that no other test matches.
SKIPFLAG = $(if $(SKIP),-skip '^$(subst |,$$|^,$(subst /,$$/^,$(SKIP)))$$')

# On arm64 the race detector itself crashes at times in hosted's tests with a simulated clock: all timers of a
# synctest bubble share one thread context of the detector. There these tests run without it.
ifeq ($(shell uname -m),aarch64)
empty =
space = $(empty) $(empty)
BUBBLES = $(shell grep -l '"wigeondale/fakes/bubble"' $$(grep -L '^//go:build !race' hosted/*_test.go) | xargs sed -n 's/^func \(Test[A-Za-z0-9_]*\).t .*/\1/p')
BUBBLE_TESTS = ^($(subst $(space),|,$(BUBBLES)))$$
HOSTED_SKIPFLAG = -skip '$(if $(SKIP),^$(subst |,$$|^,$(subst /,$$/^,$(SKIP)))$$|)$(BUBBLE_TESTS)'
else
HOSTED_SKIPFLAG = $(SKIPFLAG)
endif

test:
	$(GO) test -race $(SKIPFLAG) $(filter-out $(RAPID),$(shell $(GO) list ./...))
	$(GO) test -race -timeout 20m $(SKIPFLAG) $(filter-out wigeondale/hosted,$(RAPID)) -rapid.seed=1
	$(GO) test -race -timeout 20m $(HOSTED_SKIPFLAG) ./hosted -rapid.seed=1
	$(if $(BUBBLES),$(GO) test -timeout 20m $(SKIPFLAG) ./hosted -run '$(BUBBLE_TESTS)' -rapid.seed=1)
	$(GO) test $(SKIPFLAG) ./waitorder -run '^TestOrderOverRouters$$'
	$(GO) test $(SKIPFLAG) ./soak -run '^TestFloodSeeds$$'
	$(GO) test $(SKIPFLAG) ./hosted -run '^(TestNewsReach|TestStartOfAll|TestFarNodes)'
	$(GO) test -timeout 20m $(SKIPFLAG) ./soak -run '^TestCrowd'

measure: build
	./scripts/measure.sh full

measure-quick: build
	./scripts/measure.sh quick

# Each fuzz target of the parsers, a few seconds each.
fuzz-quick:
	./scripts/fuzz.sh 5s

# The fault soak: real processes, faults from outside. soak-quick plays the seeds
# that CI plays; soak-many plays fifty.
SEED ?= 1
soak: build
	./bin/wigeonsoak --seed $(SEED)

soak-quick:
	$(GO) test ./soak -run TestSeeds -count=1 -v

soak-many: build
	./bin/wigeonsoak --seed $(SEED) --seeds 50 --length 8s --lifetimes --crashers --asks --drills --repeats --outages --engines 10 --services 8

lint:
	@unformatted=$$(gofmt -l .); if [ -n "$$unformatted" ]; then echo "gofmt: $$unformatted"; exit 1; fi
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

.PHONY: build demo test measure measure-quick fuzz-quick soak soak-quick soak-many lint
