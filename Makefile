# Common tasks. CONFIG is the configuration file for `make run`.
CONFIG ?= config.json

.PHONY: build test lint run ci lab sites regression soak proof-leases proof-work proof-eureka bench-eureka proof-primary proof-emulator bench-cost demo

build:
	cargo build --locked --release

test:
	cargo test --locked --workspace

lint:
	cargo fmt --check
	cargo clippy --locked --workspace --all-targets -- -D warnings
	RUSTDOCFLAGS="-D warnings" cargo doc --locked --workspace --no-deps

run: build
	GW_CONFIG=$(CONFIG) target/release/linnetdeal

ci:
	bash .ci/run

# The lab: stand-in servers, fault scripts and proofs. None of it is part of CI.
lab:
	cargo build --locked --release -p linnetdeal -p linnetdeal-lab

# Runs all scripts with a registry that is stale, wrong or unavailable; the last line is one JSON object.
proof-eureka: lab
	target/release/linnetdeal-lab eureka

# Time and memory for reading a full list and a delta, at 200, 2,000 and 20,000 instances.
bench-eureka: lab
	target/release/linnetdeal-lab eureka-bench

# Changes of primary: a crash at each step of a write, planned handovers, claims, restarts, a cold successor; the
# last line is one JSON object.
proof-primary: lab
	target/release/linnetdeal-lab primary

# All scenarios in virtual time, run twice and audited; seeded faults that must be found; the largest fleet. The last
# line is one JSON object.
proof-emulator: lab
	target/release/linnetdeal-lab emulator

# Leases: 290 runs of scripts with processes and network faults, 300 processes, the model check and its mutants; the
# last line is one JSON object. The daemon is a debug build, because release builds have no clock-error injection.
proof-leases:
	cargo build --locked -p linnetdeal
	cargo build --locked --release -p linnetdeal-lab
	LINNETDEAL=target/debug/linnetdeal target/release/linnetdeal-lab leases

# Latency and CPU time that the pooler adds to a request, with stand-in servers that answer at once; the last line is
# one JSON object.
bench-cost: lab
	target/release/linnetdeal-lab cost

# Demo on loopback: a registry, stand-in servers, a pooler and a client. Ends on Ctrl-C or after DEMO_S seconds.
demo: lab
	target/release/linnetdeal-lab demo --seconds $(or $(DEMO_S),0)

# Maintenance work: scripts with processes, servers, a worker and faults; the large fleet with and without a plan;
# the order of work in the model, with its plot; the last line is one JSON object.
proof-work:
	cargo build --locked --release -p linnetdeal -p linnetdeal-lab
	LINNETDEAL=target/release/linnetdeal target/release/linnetdeal-lab work --side-by-side 10

# The soak test: 24 processes on loopback with overlapping faults, audited from outside, one seed after another; then
# faulty variants, which a debug build contains, until each is found. Exits with 1 if a rule is broken or a variant
# that must be found is missed. SOAK_SEED is the first seed, SOAK_SEEDS their number, SOAK_S the seconds per seed.
SOAK_SEED ?= 1
SOAK_SEEDS ?= 8
SOAK_S ?= 12
soak:
	cargo build --locked -p linnetdeal
	cargo build --locked --release -p linnetdeal -p linnetdeal-lab -p linnetdeal-lab-shim
	SHIM=target/release/liblinnetdeal_lab_shim.so LINNETDEAL=target/release/linnetdeal target/release/linnetdeal-lab soak --seed $(SOAK_SEED) --seeds $(SOAK_SEEDS) --seconds $(SOAK_S)
	SHIM=target/release/liblinnetdeal_lab_shim.so LINNETDEAL=target/debug/linnetdeal target/release/linnetdeal-lab soak --seed $(SOAK_SEED) --seeds 0 --seconds 6 --mutant-seeds 6

# Copies the site files that the bench expects into deploy/sites; GIVEN is their source folder. unlock.txt joins
# those of both deployments, whose faults are known.
GIVEN ?= ../given
sites:
	cp -f $(GIVEN)/kit/sites/real.json $(GIVEN)/kit/sites/wire.json deploy/sites/
	chmod u+w deploy/sites/*.json
	cat $(GIVEN)/kit/sites/unlock.txt $(GIVEN)/kit/users/unlock.txt > deploy/sites/unlock.txt

# Regression test before a merge, both deployments one after the other: the simulator, sockets, and the full-size
# runs (quick and brink). It needs the bench and an otherwise idle machine, takes long, and is not part of CI. WHY
# names the change in one sentence. Each run leaves an entry in journal/, which is committed after the whole test has
# ended. A run that fails does not stop the ones after it.
KUMASI = $(GIVEN)/kit/sites/portal-kumasi.toml
TUNIS = $(GIVEN)/kit/users/nom-tunis.toml
SIMULATOR = $(GIVEN)/kit/bin/lbsim
SOCKETS = $(GIVEN)/kit/real/bin/lbreal
SIZE = $(GIVEN)/kit/more/mass/second/bin/lbreal
regression:
	@test -n "$(WHY)" || { echo "name the change: make regression WHY='...'" >&2; exit 2; }
	@failed=0; play() { echo "== $$*"; "$$@" --why "$(WHY)" || { failed=1; echo "FAILED: $$*"; }; }; \
	for site in $(KUMASI) $(TUNIS); do \
		play $(SIMULATOR) score $$site --quick; \
		play $(SOCKETS) score $$site --quick; \
		play $(SIZE) score $$site --quick; \
		play $(SIZE) score $$site --panel brink; \
	done; exit $$failed
