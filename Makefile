# Thin front for CMake. `make help` lists the targets.
BUILD ?= build
TYPE ?= RelWithDebInfo

.PHONY: help setup configure build test demo bench load capacity soak format lint clean

help: ## list the targets
	@grep -E '^[a-z]+:.*##' $(MAKEFILE_LIST) | sed -E 's/:.*## /\t/' | expand -t 12

setup: ## install the Debian packages that the build needs
	@scripts/setup.sh

configure: setup
	@cmake -S . -B $(BUILD) -G Ninja -DCMAKE_BUILD_TYPE=$(TYPE) >$(BUILD).log 2>&1 || (cat $(BUILD).log; exit 1)

build: configure ## build everything
	@cmake --build $(BUILD)

test: build ## build, then run the test suite
	@BUILD=$(BUILD) scripts/run_tests.sh

demo: build ## start a local stack and serve statements through it
	@BUILD=$(BUILD) scripts/demo.sh

bench: build ## run the benchmarks and print their tables
	@BUILD=$(BUILD) scripts/bench.sh

load: build ## three gateways under load with a lost primary; draws load.svg
	@BUILD=$(BUILD) scripts/load.sh

capacity: build ## print the table behind docs/CAPACITY.md
	@BUILD=$(BUILD) scripts/capacity.sh

soak: build ## longer random runs with fresh seeds
	@BUILD=$(BUILD) scripts/soak.sh

format: ## rewrite the sources in the project's format
	@scripts/check_format.sh --fix

lint: build ## run clang-tidy
	@BUILD=$(BUILD) scripts/lint.sh

clean: ## remove the build folder
	@rm -rf $(BUILD) $(BUILD).log
