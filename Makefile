# The menu of everything that is done in this repository.

SEED ?= 1
SOAK_SCHEDULES ?= 50000

.PHONY: build test test-race lint check demo bench soak generate clean

build: ## Build both programs into bin/.
	go build -o bin/ ./cmd/...

test: build ## Run every test.
	go test ./...

test-race: ## Run the tests of core and io with the race detector.
	go test -race ./core/... ./io/...

lint: ## Check formatting, vet and staticcheck.
	@unformatted=$$(gofmt -l cmd core io test); if [ -n "$$unformatted" ]; then echo "not formatted: $$unformatted"; exit 1; fi
	go vet ./...
	go tool staticcheck ./...

check: lint test test-race ## Everything that CI runs.

demo: build ## Run the whole path once with 7 entries, 8 runners and 8 workers.
	bin/tbbench run demo --seed $(SEED)

bench: build ## Run every scenario and write its report to bench/.
	mkdir -p bench
	for s in $$(bin/tbbench list | cut -d' ' -f1); do echo "== $$s"; bin/tbbench run $$s --seed $(SEED) --json > bench/$$s.json; cat bench/$$s.json; done

soak: ## Run many random schedules, from SEED on.
	go test ./core/... -run Schedules -timeout 2h -args -seed=$(SEED) -schedules=$(SOAK_SCHEDULES)

generate: ## Regenerate the code of the proto files; needs buf and its plugins on the path.
	buf generate --template buf.gen.public.yaml --path io/tbproto/v1/public.proto
	buf generate --template buf.gen.peer.yaml --path io/tbproto/v1/peer.proto

clean: ## Remove what was built and measured.
	rm -rf bin bench
