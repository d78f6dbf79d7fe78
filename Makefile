# Every check is run the same way here and in CI.
TOOLS := go tool -modfile=tools/go.mod

.PHONY: all build test race lint format generate docs demo fuzz bench

all: lint test

# The programs go to bin/.
build:
	go build -o bin/ ./cmd/...

test:
	go test ./...

# RACE=./... takes in the comparisons in virtual time too, which run long and on one goroutine, and
# internal/wire/httpd: nbhttp hands connections from its acceptor to its loops through epoll, which the
# race detector can't follow, so what it reports there is the library's hand-over.
RACE ?= . ./internal/app/... ./internal/fleet/... ./internal/load/traffic ./internal/ctl/status \
	./internal/wire/loops ./internal/wire/peer ./internal/wire/platform ./internal/wire/responsehead ./internal/wire/upstream \
	./internal/proof/scenario ./internal/decide/budget ./internal/decide/admission

race:
	go test -race $(RACE)

lint:
	@out=$$($(TOOLS) gofumpt -l .); if [ -n "$$out" ]; then echo "gofumpt: run 'make format' for:"; echo "$$out"; exit 1; fi
	go vet ./...
	$(TOOLS) staticcheck ./...

format:
	$(TOOLS) gofumpt -w .

# Generated files are committed; this is for whoever changes an enum.
generate:
	PATH="$(CURDIR)/.bin:$$PATH" go generate ./...

# The tables of settings, reasons and metrics are the program's own; a test holds that they are current.
docs:
	@mkdir -p bin
	go build -o bin/foxctl ./cmd/foxctl
	bin/foxctl reference settings >docs/SETTINGS.md
	bin/foxctl reference reasons >docs/REASONS.md
	bin/foxctl reference metrics >docs/METRICS.md

demo:
	@./scripts/demo.sh

# The hot path of the decisions, and the choices compared in virtual time.
bench:
	go test -run '^$$' -bench . ./internal/decide/...
	go run ./cmd/foxtailbench
