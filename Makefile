# Every check is run the same way here and in CI.
TOOLS := go tool -modfile=tools/go.mod

.PHONY: all test race lint format generate docs demo fuzz bench

all: lint test

test:
	go test ./...

race:
	go test -race ./...

lint:
	@out=$$($(TOOLS) gofumpt -l .); if [ -n "$$out" ]; then echo "gofumpt: run 'make format' for:"; echo "$$out"; exit 1; fi
	go vet ./...
	$(TOOLS) staticcheck ./...

format:
	$(TOOLS) gofumpt -w .

# Generated files are committed; this is for whoever changes an enum.
generate:
	PATH="$(CURDIR)/.bin:$$PATH" go generate ./...

# The tables of settings and reasons are the program's own; a test holds that they are current.
docs:
	go run ./cmd/foxctl reference settings >docs/SETTINGS.md
	go run ./cmd/foxctl reference reasons >docs/REASONS.md

demo:
	@./scripts/demo.sh

# The hot path of the decisions, and the choices compared in virtual time.
bench:
	go test -run '^$$' -bench . ./internal/decide/...
	go run ./cmd/foxtailbench
