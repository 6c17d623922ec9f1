# Thin front of the CMake presets; see README.md.
PRESET ?= release
BUILD := build/$(PRESET)

.PHONY: all dependencies configure build test demo demo-platform bench format format-check lint

all: build

dependencies:
	@scripts/install-dependencies.sh

configure: dependencies
	@cmake --preset $(PRESET) >/dev/null

build: configure
	@cmake --build --preset $(PRESET)

# Without the whole history the tests of mixed builds say that they were passed over.
test: build
	-@scripts/build_earlier.sh
	@scripts/run_tests.sh $(PRESET)

demo: build
	@scripts/demo.sh $(BUILD)

demo-platform: build
	@emulator/platform/demo.sh $(BUILD)

bench: build
	@$(BUILD)/martenyard-bench experiment --out build/bench

format:
	@git ls-files '*.cc' '*.h' | xargs clang-format -i

format-check:
	@git ls-files '*.cc' '*.h' | xargs clang-format --dry-run --Werror

lint: build
	@scripts/lint.sh $(BUILD)
