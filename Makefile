# arbutusspindle

CC = gcc
CXX = g++
BUILD = build
CFLAGS = -std=gnu11 -D_GNU_SOURCE -O2 -g -Wall -Wextra -Werror $(SAN)
CXXFLAGS = -std=gnu++17 -D_GNU_SOURCE -O1 -g -Wall -Wextra $(SAN)
IQUOTE = -iquote core -iquote shell -iquote gate -iquote control -iquote ctl \
	 -iquote timeline -iquote standin -iquote tests -iquote net \
	 -iquote platform -iquote entry -iquote entry/accounts \
	 -iquote entry/callers \
	 -iquote bench
LDLIBS = -lcivetweb -lcurl -lzmq -lmsgpackc -ljansson -largtable2 -lnettle \
	 -lxxhash -lurcu-bp -lz -lpthread -lm

CORE = $(patsubst %.c,$(BUILD)/%.o,$(wildcard core/*.c))
SHELL_O = $(patsubst %.c,$(BUILD)/%.o,$(wildcard shell/*.c))
ENTRY_C = $(wildcard entry/*.c entry/*/*.c)
NET = $(patsubst %.c,$(BUILD)/%.o,$(wildcard net/*.c platform/*.c))
LIBS = $(BUILD)/libcore.a $(BUILD)/libshell.a

PROGRAMS = spindle-entry spindle-gate spindle-control spindlectl spindle-timeline
STANDINS = fake-platform fake-engine spindle-load
BINARIES = $(addprefix $(BUILD)/,$(PROGRAMS) $(STANDINS))

FAKE_ENGINE = fake_engine fake_orders fake_service fake_notice batch
LOAD = spindle_load load_trace load_run load_report

FORMATTED = $(wildcard core/*.[ch] shell/*.[ch] gate/*.[ch] control/*.[ch] \
	    net/*.[ch] platform/*.[ch] entry/*.[ch] entry/*/*.[ch] \
	    ctl/*.[ch] timeline/*.[ch] standin/*.[ch] tests/*.[ch] bench/*.[ch])
LINTED = $(filter %.c,$(FORMATTED))

CONTROL = $(filter-out $(BUILD)/control/main.o, \
	  $(patsubst %.c,$(BUILD)/%.o,$(wildcard control/*.c)))

all: $(BINARIES)

$(BUILD)/%.o: %.c
	@mkdir -p $(dir $@)
	$(CC) $(CFLAGS) $(IQUOTE) -MMD -MP -c $< -o $@

$(BUILD)/libcore.a: $(CORE)
	rm -f $@ && ar rcs $@ $^

$(BUILD)/libshell.a: $(SHELL_O)
	rm -f $@ && ar rcs $@ $^

link = $(CC) $(CFLAGS) -o $@ $(filter %.o,$^) $(BUILD)/libshell.a \
       $(BUILD)/libcore.a $(LDLIBS)

$(BUILD)/spindle-entry: LDLIBS = -lev -lhttp_parser -lzmq -lmsgpackc -ljansson -largtable2 \
    -lnettle -lxxhash -lz -lpthread -lm
$(BUILD)/spindle-entry: $(patsubst %.c,$(BUILD)/%.o,$(ENTRY_C)) \
    $(NET) $(LIBS)
	$(link)
$(BUILD)/spindle-gate: $(patsubst %.c,$(BUILD)/%.o,$(wildcard gate/*.c)) $(LIBS)
	$(link)
$(BUILD)/spindle-control: $(patsubst %.c,$(BUILD)/%.o,$(wildcard control/*.c)) $(LIBS)
	$(link)
$(BUILD)/spindlectl: $(patsubst %.c,$(BUILD)/%.o,$(wildcard ctl/*.c)) $(LIBS)
	$(link)
$(BUILD)/spindle-timeline: $(patsubst %.c,$(BUILD)/%.o,$(wildcard timeline/*.c)) $(LIBS)
	$(link)
$(BUILD)/fake-platform: $(BUILD)/standin/fake_platform.o $(LIBS)
	$(link)
$(BUILD)/fake-engine: $(FAKE_ENGINE:%=$(BUILD)/standin/%.o) $(LIBS)
	$(link)
$(BUILD)/spindle-load: $(LOAD:%=$(BUILD)/standin/%.o) $(LIBS)
	$(link)

deps:
	@scripts/deps.sh

demo: deps
	@$(MAKE) -s -j8 all
	@scripts/demo.sh

format:
	clang-format -i $(FORMATTED)

clean:
	rm -rf $(BUILD)

-include $(wildcard $(BUILD)/*/*.d $(BUILD)/*/*/*.d)

.PHONY: all deps demo format clean

lint:
	@clang-format --dry-run -Werror $(FORMATTED)
	@printf '%s\n' $(LINTED) | xargs -P 8 -n 4 scripts/tidy.sh
.PHONY: lint

FUZZERS = $(BUILD)/fuzz_serving $(BUILD)/fuzz_state $(BUILD)/fuzz_orders \
	  $(BUILD)/fuzz_notice $(BUILD)/fuzz_permits $(BUILD)/fuzz_quota \
	  $(BUILD)/fuzz_answers

$(BUILD)/tests/%.oo: tests/%.cc
	@mkdir -p $(dir $@)
	$(CXX) $(CXXFLAGS) $(IQUOTE) -MMD -MP -c $< -o $@

WORLD_serving = serving_world serving_fetch
WORLD_state = state_world state_kv state_engine state_oracle
WORLD_orders = orders_world orders_world_loads orders_tables orders_store
WORLD_notice = notice_world
WORLD_permits = permits_world
WORLD_quota = quota_world permits_world

.SECONDEXPANSION:
$(BUILD)/fuzz_%: $(BUILD)/tests/fuzz_%.oo \
    $$(foreach w,$$(WORLD_$$*),$(BUILD)/tests/$$(w).oo) $(BUILD)/libcore.a
	$(CXX) $(CXXFLAGS) -o $@ $(filter %.oo,$^) $(BUILD)/libcore.a -lrapidcheck -ljansson \
	    -lxxhash -lmsgpackc -lm

# The entry's own path of an answer; its connections are stand-ins.
ANSWERS = net/http net/http_client net/sse net/buf net/tag_set platform/fields \
	  entry/attempt_send entry/response entry/event_filter tests/answers_entry

# The platform's messages of the key-value service.
STORE_MESSAGES = platform/store platform/decode net/http net/buf

$(BUILD)/fuzz_orders: $(BUILD)/tests/fuzz_orders.oo \
    $(WORLD_orders:%=$(BUILD)/tests/%.oo) $(STORE_MESSAGES:%=$(BUILD)/%.o) \
    $(LIBS)
	$(CXX) $(CXXFLAGS) -o $@ $(filter %.oo %.o,$^) $(BUILD)/libshell.a \
	    $(BUILD)/libcore.a -lrapidcheck -lhttp_parser -ljansson -lnettle \
	    -lxxhash -lmsgpackc -lpthread -lm

$(BUILD)/fuzz_answers: $(BUILD)/tests/fuzz_answers.oo \
    $(BUILD)/tests/answers_world.oo $(BUILD)/tests/answers_wire.oo \
    $(ANSWERS:%=$(BUILD)/%.o) $(LIBS)
	$(CXX) $(CXXFLAGS) -o $@ $(filter %.oo %.o,$^) $(BUILD)/libshell.a \
	    $(BUILD)/libcore.a -lrapidcheck -lhttp_parser -ljansson -lnettle \
	    -lxxhash -lmsgpackc -lpthread -lm

TESTS = $(patsubst tests/test_%.c,$(BUILD)/test_%,$(wildcard tests/test_*.c))

$(BUILD)/test_platform: $(BUILD)/tests/test_platform.o \
    $(BUILD)/tests/parse_fixture.o $(BUILD)/tests/unit.o \
    $(NET) $(LIBS)
	$(CC) $(CFLAGS) -o $@ $(filter %.o,$^) $(BUILD)/libshell.a \
	    $(BUILD)/libcore.a $(LDLIBS) -lev -lhttp_parser -lcunit

$(BUILD)/test_account_config: $(BUILD)/tests/test_account_config.o \
    $(BUILD)/tests/parse_fixture.o $(BUILD)/tests/unit.o $(NET) $(LIBS)
	$(CC) $(CFLAGS) -o $@ $(filter %.o,$^) $(BUILD)/libshell.a \
	    $(BUILD)/libcore.a $(LDLIBS) -lev -lhttp_parser -lcunit

$(BUILD)/test_conf_bounds: $(BUILD)/tests/test_conf_bounds.o \
    $(BUILD)/tests/unit.o $(NET) $(LIBS)
	$(CC) $(CFLAGS) -o $@ $(filter %.o,$^) $(BUILD)/libshell.a \
	    $(BUILD)/libcore.a $(LDLIBS) -lev -lhttp_parser -lcunit

$(BUILD)/test_replica_names: $(BUILD)/tests/test_replica_names.o \
    $(BUILD)/tests/unit.o $(NET) $(LIBS)
	$(CC) $(CFLAGS) -o $@ $(filter %.o,$^) $(BUILD)/libshell.a \
	    $(BUILD)/libcore.a $(LDLIBS) -lev -lhttp_parser -lcunit

$(BUILD)/test_fields: $(BUILD)/tests/test_fields.o $(BUILD)/tests/unit.o \
    $(NET) $(LIBS)
	$(CC) $(CFLAGS) -o $@ $(filter %.o,$^) $(BUILD)/libshell.a \
	    $(BUILD)/libcore.a $(LDLIBS) -lev -lhttp_parser -lcunit

$(BUILD)/test_expiry: $(BUILD)/tests/test_expiry.o $(BUILD)/tests/unit.o \
    $(BUILD)/net/expiry.o $(LIBS)
	$(CC) $(CFLAGS) -o $@ $(filter %.o,$^) $(BUILD)/libshell.a \
	    $(BUILD)/libcore.a $(LDLIBS) -lev -lcunit

$(BUILD)/test_tag_set: $(BUILD)/tests/test_tag_set.o $(BUILD)/tests/unit.o \
    $(BUILD)/net/tag_set.o $(LIBS)
	$(CC) $(CFLAGS) -o $@ $(filter %.o,$^) $(BUILD)/libshell.a \
	    $(BUILD)/libcore.a $(LDLIBS) -lcunit

$(BUILD)/test_event_filter: $(BUILD)/tests/test_event_filter.o \
    $(BUILD)/tests/unit.o $(BUILD)/entry/event_filter.o $(NET) $(LIBS)
	$(CC) $(CFLAGS) -o $@ $(filter %.o,$^) $(BUILD)/libshell.a \
	    $(BUILD)/libcore.a $(LDLIBS) -lev -lhttp_parser -lcunit

$(BUILD)/test_conf_decoder: $(BUILD)/tests/test_conf_decoder.o \
    $(BUILD)/tests/unit.o $(BUILD)/entry/conf_decoder.o $(NET) $(LIBS)
	$(CC) $(CFLAGS) -o $@ $(filter %.o,$^) $(BUILD)/libshell.a \
	    $(BUILD)/libcore.a $(LDLIBS) -lev -lhttp_parser -lcunit

$(BUILD)/test_loader_io: $(BUILD)/tests/test_loader_io.o $(BUILD)/tests/unit.o \
    $(BUILD)/entry/loader_io.o $(BUILD)/entry/loader_demand.o \
    $(BUILD)/entry/adapter_table.o $(NET) $(LIBS)
	$(CC) $(CFLAGS) -o $@ $(filter %.o,$^) $(BUILD)/libshell.a \
	    $(BUILD)/libcore.a $(LDLIBS) -lev -lhttp_parser -lcunit

$(BUILD)/test_list_text: $(BUILD)/tests/test_list_text.o $(BUILD)/tests/entry_fixture.o \
    $(BUILD)/tests/unit.o \
    $(patsubst %.c,$(BUILD)/%.o,$(filter-out entry/main.c,$(ENTRY_C))) \
    $(NET) $(LIBS)
	$(CC) $(CFLAGS) -o $@ $(filter %.o,$^) $(BUILD)/libshell.a \
	    $(BUILD)/libcore.a $(LDLIBS) -lev -lhttp_parser -lcunit

$(BUILD)/test_peers: $(BUILD)/tests/test_peers.o $(BUILD)/tests/entry_fixture.o $(BUILD)/tests/unit.o \
    $(patsubst %.c,$(BUILD)/%.o,$(filter-out entry/main.c,$(ENTRY_C))) \
    $(NET) $(LIBS)
	$(CC) $(CFLAGS) -o $@ $(filter %.o,$^) $(BUILD)/libshell.a \
	    $(BUILD)/libcore.a $(LDLIBS) -lev -lhttp_parser -lcunit

$(BUILD)/test_detour: $(BUILD)/tests/test_detour.o $(BUILD)/tests/entry_fixture.o $(BUILD)/tests/unit.o \
    $(patsubst %.c,$(BUILD)/%.o,$(filter-out entry/main.c,$(ENTRY_C))) \
    $(NET) $(LIBS)
	$(CC) $(CFLAGS) -o $@ $(filter %.o,$^) $(BUILD)/libshell.a \
	    $(BUILD)/libcore.a $(LDLIBS) -lev -lhttp_parser -lcunit

$(BUILD)/test_store: $(BUILD)/tests/test_store.o $(BUILD)/tests/unit.o $(NET) \
    $(LIBS)
	$(CC) $(CFLAGS) -o $@ $(filter %.o,$^) $(BUILD)/libshell.a \
	    $(BUILD)/libcore.a $(LDLIBS) -lev -lhttp_parser -lcunit

$(BUILD)/test_http: $(BUILD)/tests/test_http.o $(BUILD)/tests/unit.o $(NET) \
    $(LIBS)
	$(CC) $(CFLAGS) -o $@ $(filter %.o,$^) $(BUILD)/libshell.a \
	    $(BUILD)/libcore.a $(LDLIBS) -lev -lhttp_parser -lcunit

$(BUILD)/test_stall: $(BUILD)/tests/test_stall.o $(BUILD)/tests/unit.o $(NET) \
    $(LIBS)
	$(CC) $(CFLAGS) -o $@ $(filter %.o,$^) $(BUILD)/libshell.a \
	    $(BUILD)/libcore.a $(LDLIBS) -lev -lhttp_parser -lcunit

$(BUILD)/test_deflate: $(BUILD)/tests/test_deflate.o $(BUILD)/tests/unit.o \
    $(NET) $(LIBS)
	$(CC) $(CFLAGS) -o $@ $(filter %.o,$^) $(BUILD)/libshell.a \
	    $(BUILD)/libcore.a $(LDLIBS) -lev -lhttp_parser -lcunit

$(BUILD)/test_origins: $(BUILD)/tests/test_origins.o $(BUILD)/tests/unit.o \
    $(NET) $(LIBS)
	$(CC) $(CFLAGS) -o $@ $(filter %.o,$^) $(BUILD)/libshell.a \
	    $(BUILD)/libcore.a $(LDLIBS) -lev -lhttp_parser -lcunit

$(BUILD)/test_net: $(BUILD)/tests/test_net.o $(BUILD)/tests/unit.o $(NET) $(LIBS)
	$(CC) $(CFLAGS) -o $@ $(filter %.o,$^) $(BUILD)/libshell.a \
	    $(BUILD)/libcore.a $(LDLIBS) -lev -lhttp_parser -lcunit

$(BUILD)/test_loader $(BUILD)/test_loader_adapters \
    $(BUILD)/test_loader_models $(BUILD)/test_loader_rate: $(BUILD)/tests/loader_fixture.o
$(BUILD)/test_relay: $(BUILD)/gate/relay.o $(BUILD)/gate/exchange.o
$(BUILD)/test_gate $(BUILD)/test_gate_notice: $(BUILD)/tests/gate_fixture.o
$(BUILD)/test_fleet $(BUILD)/test_balance: $(BUILD)/tests/fleet_fixture.o
$(BUILD)/test_follow_bounds $(BUILD)/test_follow_ranks: $(BUILD)/tests/follow_world.o \
    $(BUILD)/tests/follow_list.o $(BUILD)/tests/follow_store.o
$(BUILD)/test_cell: $(BUILD)/tests/cell_fixture.o
$(BUILD)/test_poison $(BUILD)/test_poison_report \
    $(BUILD)/test_poison_request: $(BUILD)/tests/poison_fixture.o
$(BUILD)/test_%: $(BUILD)/tests/test_%.o $(BUILD)/tests/unit.o $(LIBS)
	$(CC) $(CFLAGS) -o $@ $(filter %.o,$^) $(BUILD)/libshell.a \
	    $(BUILD)/libcore.a $(LDLIBS) -lcunit

check: deps
	@python3 scripts/check.py

SEED = 1
CASES = 20000
fuzz: deps $(FUZZERS)
	RC_PARAMS="seed=$(SEED) max_success=$(CASES)" $(BUILD)/fuzz_serving
	RC_PARAMS="seed=$(SEED) max_success=$(CASES)" $(BUILD)/fuzz_state
	RC_PARAMS="seed=$(SEED) max_success=$(CASES)" $(BUILD)/fuzz_orders
	RC_PARAMS="seed=$(SEED) max_success=$(CASES)" $(BUILD)/fuzz_notice
	RC_PARAMS="seed=$(SEED) max_success=$(CASES)" $(BUILD)/fuzz_permits
	RC_PARAMS="seed=$(SEED) max_success=$(CASES)" $(BUILD)/fuzz_quota
	RC_PARAMS="seed=$(SEED) max_success=$(CASES)" $(BUILD)/fuzz_answers

SEEDS = 1-50
SECONDS = 12
soak: deps $(BUILD)/spindle-entry
	@python3 soak/soak.py --kept --seeds $(SEEDS) --seconds $(SECONDS)

mutate: deps
	@python3 tests/mutate.py

bench: deps all $(BUILD)/control-even $(BUILD)/control-minute
	@python3 bench/bench.py

$(BUILD)/control-even: $(BUILD)/bench/control_even.o $(CONTROL) $(LIBS)
	$(link)
$(BUILD)/control-minute: $(BUILD)/bench/control_minute.o $(CONTROL) $(LIBS)
	$(link)

.PHONY: check fuzz soak mutate bench
