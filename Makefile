GO ?= go
MODULES = core poplarpin poplarpind standin testbed
VERSION ?= $(shell git describe --always --dirty 2>/dev/null || echo unset)

.PHONY: build demo test bench model lint capacity clean

build:
	@mkdir -p bin
	$(GO) build -ldflags "-X main.version=$(VERSION)" -o bin/ ./poplarpin ./poplarpind ./standin ./testbed

demo: build
	@bin/testbed demo
