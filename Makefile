# Each target is a single command that also works on a newly installed Debian machine.
BUILD ?= build
JOBS ?= $(shell nproc)
CMAKE_FLAGS ?=

.PHONY: all packages build test demo bench lint clean

all: build

packages:
	./scripts/install_packages

build: packages
	cmake -S . -B $(BUILD) -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo $(CMAKE_FLAGS)
	cmake --build $(BUILD) -j $(JOBS)

test: build
	./scripts/run_tests $(BUILD)

demo: build
	./apps/demo $(BUILD)

bench: build
	./scripts/run_bench $(BUILD)

lint: packages
	./scripts/lint $(BUILD)

clean:
	rm -rf $(BUILD)
