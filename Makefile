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

test:
	$(GO) test -race $(SKIPFLAG) $(filter-out $(RAPID),$(shell $(GO) list ./...))
	$(GO) test -race -timeout 20m $(SKIPFLAG) $(RAPID) -rapid.seed=1
	$(GO) test $(SKIPFLAG) ./waitorder -run '^TestOrderOverRouters$$'
	$(GO) test $(SKIPFLAG) ./hosted -run '^(TestNewsReach|TestStartOfAll|TestFarNodes)'

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
