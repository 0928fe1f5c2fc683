# Targets that run programs install missing packages and build first.

SHELL := /bin/bash
PRESET ?= release
BUILD := build/$(PRESET)
STEPS ?= 20000
SEED ?= 7
SOAKS ?= 1
SOAK_LENGTH ?= 20s
PACKAGES := g++ cmake ninja-build ccache clang-format clang-tidy libboost1.81-dev libflatbuffers-dev \
	flatbuffers-compiler prometheus-cpp-dev libspdlog-dev libfmt-dev catch2 librapidcheck-dev \
	nlohmann-json3-dev libxxhash-dev

.PHONY: install build test demo bench lint format fuzz soak sanitize clean

install:
	@dpkg-query -W $(PACKAGES) >/dev/null 2>&1 || \
		{ apt-get update && apt-get install -y --no-install-recommends $(PACKAGES); }

build: install
	cmake --preset $(PRESET) > build-configure.log || { cat build-configure.log; exit 1; }
	@rm -f build-configure.log
	cmake --build --preset $(PRESET)

test: build
	bash tools/run-tests.sh $(BUILD)

demo: build
	$(BUILD)/standins/demo

bench: build
	$(BUILD)/bench/bench

lint: install
	bash tools/lint.sh

format:
	git ls-files '*.h' '*.cpp' | grep -v /generated/ | xargs clang-format -i

fuzz: build
	RC_PARAMS="seed=$(SEED) max_success=$$(( ($(STEPS) + 99) / 100 )) max_size=100" \
		$(BUILD)/libs/core/tests/cowslipdoor-core-tests "[fuzz]"
	COWSLIPDOOR_WORLD_SEED=$(SEED) COWSLIPDOOR_WORLDS=$$(( ($(STEPS) + 99) / 100 )) \
		$(BUILD)/libs/scheduling/tests/cowslipdoor-scheduling-tests "[fuzz]"

soak: build
	$(BUILD)/standins/soak/soak --seed $(SEED) --soaks $(SOAKS) --length $(SOAK_LENGTH)

sanitize:
	$(MAKE) test PRESET=sanitize

clean:
	rm -rf build
