BUILD ?= build

.PHONY: all packages build test demo bench chaos format tidy models clean

all: build

packages:
	./.ci/packages

build:
	cmake -S . -B $(BUILD) -G Ninja
	cmake --build $(BUILD)

test: build
	cd $(BUILD) && RC_PARAMS="seed=1" ctest --output-on-failure -j 4

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
