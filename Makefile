BUILD ?= build

.PHONY: all packages build test sanitize demo bench chaos format tidy models clean

all: build

packages:
	./.ci/packages

build:
	cmake -S . -B $(BUILD) -G Ninja
	cmake --build $(BUILD)

test: build
	cd $(BUILD) && RC_PARAMS="seed=1" ctest --output-on-failure -j 4

SANITIZER ?= address,undefined
sanitize:
	cmake -S . -B $(BUILD)-sanitize -G Ninja -DCMAKE_BUILD_TYPE=Debug \
	  -DCMAKE_CXX_FLAGS_DEBUG="-O1 -g1 -fno-sanitize-recover=all" \
	  -DDAISYLANDING_SANITIZER=$(SANITIZER)
	cmake --build $(BUILD)-sanitize --target unit-tests
	RC_PARAMS="seed=1" $(BUILD)-sanitize/unit-tests

demo: packages build
	rm -rf $(BUILD)/demo-run
	$(BUILD)/demo $(BUILD) $(BUILD)/demo-run demo/sohar.toml demo/akureyri.toml

bench: build
	$(BUILD)/policy-bench
	$(BUILD)/scenarios
	$(BUILD)/capacity $(BUILD) $(BUILD)/capacity-run

SEED ?= 1
ROUNDS ?= 12
chaos: build
	$(BUILD)/chaos $(BUILD) $(BUILD)/chaos-run demo/sohar.toml $(SEED) $(ROUNDS)

models:
	./spec/check

format:
	git ls-files 'src/*.h' 'src/*.cpp' 'platform/*.h' 'platform/*.cpp' \
	  'tests/*.h' 'tests/*.cpp' 'bench/*.cpp' 'bench/*.h' | xargs clang-format --dry-run -Werror

tidy: build
	./.ci/tidy $(BUILD)

clean:
	rm -rf $(BUILD)
