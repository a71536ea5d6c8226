/* The processes of the fleet in virtual time, as entry/ runs them. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "follow_world.h"
#include "mem.h"

#define START_NS (100 * NSEC_PER_SEC)
#define TICK_NS (50 * NSEC_PER_MSEC)
#define TICK_DUTY_NS (20 * NSEC_PER_MSEC)
#define REPORT_NS (200 * NSEC_PER_MSEC)
#define SILENT_NS (800 * NSEC_PER_MSEC)
#define HUB_STARTUP_NS (700 * NSEC_PER_MSEC)
#define SETTLE_NS (1500 * NSEC_PER_MSEC) /* hubs have read and watch */
#define DECODE_NS (50 * NSEC_PER_MSEC)
/* Messages: on the way, at a slow process, and 40 KB at 100 Mbit/s. */
#define LATENCY_NS (10 * NSEC_PER_MSEC)
#define SLOW_NS (300 * NSEC_PER_MSEC)
#define TEXT_NS (3200 * NSEC_PER_USEC)

TAILQ_HEAD(message_list, message);

struct process *world;
uint64_t world_now;
uint64_t world_calls;
uint64_t world_texts;

static struct message_list queue;
static uint64_t random_state;

static void push_config(struct process *);
static void send_report(struct process *, uint32_t);
static void report(struct process *);
static void tell_zone(struct process *);
static void answer_pull(struct process *, const struct message *);
static void answer_waiting(struct process *);
static void apply_report(struct process *, const struct message *);
static void deliver(struct message *);
static void deliver_due(void);
static void run_process(struct process *);
static uint32_t count_silent(const struct process *);
static void choose_relays(struct process *);
static void choose_hubs(struct process *);
static void tick(struct process *);
static void start_process(uint32_t);

uint32_t
process_index(const struct process *p)
{
	return (uint32_t)(p - world);
}

int
world_is_hub(uint32_t i)
{
	return world[i].hub[i].hub_since != 0 &&
	    world_now >= START_NS + HUB_STARTUP_NS;
}

int
world_is_relay(uint32_t i)
{
	return world[i].relay[i].hub_since != 0;
}

int
world_has(uint32_t i, enum follow_text t)
{
	if (t == FOLLOW_CONFIG)
		return world[i].follow.version == store_version();
	return memcmp(world[i].list.entry, store_list()->entry,
		   sizeof(world[i].list.entry)) == 0;
}

struct message *
message_create(const struct process *p, enum message_kind kind)
{
	struct message *m = mem_alloc(sizeof(*m));

	m->kind = kind;
	m->version = p->follow.version;
	m->weight = p->hub[process_index(p)].weight;
	m->list.revision = p->list.revision;
	m->list.digest = p->list.digest;
	m->digest = p->list.digest;
	return m;
}

/* Takes the message. */
void
message_send(uint32_t from, uint32_t to, struct message *m)
{
	struct process *p = &world[from];
	struct message *q;

	if (p->fault == FAULT_CUT || world[to].fault == FAULT_CUT ||
	    from == to) {
		free(m);
		return;
	}
	m->from = from;
	m->to = to;
	m->due = world_now;
	if (m->kind == MESSAGE_TEXT && (m->text == FOLLOW_CONFIG || m->whole)) {
		world_texts++;
		if (p->link_free_at < world_now)
			p->link_free_at = world_now;
		p->link_free_at += TEXT_NS;
		m->due = p->link_free_at;
	}
	m->due += LATENCY_NS +
	    (p->fault == FAULT_SLOW || world[to].fault == FAULT_SLOW ? SLOW_NS
								     : 0);
	TAILQ_FOREACH_REVERSE(q, &queue, message_list, entry)
	{
		if (q->due <= m->due)
			break;
	}
	if (q == NULL)
		TAILQ_INSERT_HEAD(&queue, m, entry);
	else
		TAILQ_INSERT_AFTER(&queue, q, m, entry);
}

/* A hub sends to all relays, and a relay to its data centre. */
void
message_send_down(struct process *p, const struct message *m)
{
	uint32_t self = process_index(p);
	struct message *copy;
	uint32_t i;
	int down;

	for (i = 0; i < WORLD_PROCESSES; i++) {
		down = (world_is_hub(self) && p->relay[i].hub_since != 0) ||
		    (world_is_relay(self) && world[i].zone == p->zone);
		if (i == self || !down)
			continue;
		copy = mem_alloc(sizeof(*copy));
		*copy = *m;
		message_send(self, i, copy);
	}
}

static void
push_config(struct process *p)
{
	struct message *m = message_create(p, MESSAGE_TEXT);
	uint32_t self = process_index(p);
	struct message *copy;
	uint32_t i;

	m->text = FOLLOW_CONFIG;
	for (i = 0; i < WORLD_PROCESSES; i++) {
		if (i == self)
			continue;
		if (world_is_relay(self) && world[i].zone == p->zone) {
			if (!follow_is_to_push(&p->sent[i], world_now))
				continue;
			follow_set_sent(&p->follow, &p->sent[i], world_now);
		} else if (!world_is_hub(self) || p->relay[i].hub_since == 0) {
			continue;
		}
		copy = mem_alloc(sizeof(*copy));
		*copy = *m;
		message_send(self, i, copy);
	}
	free(m);
}

void
process_receive_config(struct process *p, uint64_t version)
{
	if (version <= p->follow.version || version <= p->decoding)
		return;
	if (p->decoding == 0)
		p->decoded_at = world_now + DECODE_NS;
	p->decoding = version;
}

static void
send_report(struct process *p, uint32_t to)
{
	message_send(process_index(p), to, message_create(p, MESSAGE_REPORT));
}

/* To its relay; relays to each other and to their data centre. */
static void
report(struct process *p)
{
	uint32_t i;

	if (!world_is_relay(process_index(p))) {
		if (p->my_relay < WORLD_PROCESSES)
			send_report(p, p->my_relay);
		return;
	}
	for (i = 0; i < WORLD_PROCESSES; i++) {
		if (p->relay[i].hub_since != 0 || world[i].zone == p->zone)
			send_report(p, i);
	}
}

/* As entry/report.c does. */
static void
tell_zone(struct process *p)
{
	uint32_t i;

	p->tells_zone = 0;
	p->reported_weight = p->hub[process_index(p)].weight;
	for (i = 0; i < WORLD_PROCESSES; i++) {
		if (world[i].zone == p->zone)
			send_report(p, i);
	}
}

void
process_pull(
    struct process *p, uint32_t from, enum follow_text text, uint64_t since)
{
	struct message *m = message_create(p, MESSAGE_PULL);

	m->text = text;
	m->list_from = since;
	message_send(process_index(p), from, m);
}

static void
answer_pull(struct process *p, const struct message *m)
{
	char addr[ADDR_SIZE];

	if (m->text == FOLLOW_LIST && process_answer_changes(p, m))
		return;
	if (m->text == FOLLOW_CONFIG) {
		snprintf(addr, sizeof(addr), "%u", m->from);
		pulls_add(&p->pulls, addr);
		answer_waiting(p);
	} else if (follow_answers_pull(&p->answers, world_now, m->text)) {
		process_send_list(p, m->from);
	}
}

static void
answer_waiting(struct process *p)
{
	struct message *reply;
	char addr[ADDR_SIZE];

	while (pulls_next(&p->pulls, &p->answers, world_now, addr)) {
		reply = message_create(p, MESSAGE_TEXT);
		reply->text = FOLLOW_CONFIG;
		message_send(
		    process_index(p), (uint32_t)strtoul(addr, NULL, 10), reply);
	}
}

static void
apply_report(struct process *p, const struct message *m)
{
	const struct follow_list mine = { p->list.revision, p->list.digest };
	uint32_t self = process_index(p);
	struct message *copy;
	char addr[ADDR_SIZE];

	if (p->relay[m->from].weight != 0 && m->weight == 0 &&
	    world[m->from].zone == p->zone)
		store_check_doubt(&p->check, world_now);
	if (world[m->from].zone == p->zone && !world_is_relay(self) &&
	    p->relay[m->from].hub_since == 0)
		p->tells_zone |= roll_call_start(&p->roll_call, world_now);
	p->hub[m->from].weight = m->weight;
	p->relay[m->from].weight = m->weight;
	snprintf(addr, sizeof(addr), "%u", m->from);
	follow_report(&p->follow, world_now, m->version, addr);
	follow_set_reported(&p->sent[m->from], m->version);
	if (world_is_relay(self) && world[m->from].zone == p->zone &&
	    follow_is_to_send(
		&p->follow, &p->sent[m->from], m->version, world_now)) {
		follow_set_sent(&p->follow, &p->sent[m->from], world_now);
		copy = message_create(p, MESSAGE_TEXT);
		copy->text = FOLLOW_CONFIG;
		message_send(self, m->from, copy);
	}
	if (follow_list_report(&p->behind, world_now, &mine, &m->list,
		!world_is_hub(self) && p->hub[m->from].hub_since != 0))
		process_pull_list(p, m->from,
		    m->list.revision > p->list.revision ? p->list.revision : 0);
}

static void
deliver(struct message *m)
{
	struct process *p = &world[m->to];

	if (p->fault == FAULT_DEAD || p->fault == FAULT_CUT)
		return;
	p->hub[m->from].heard_at = world_now;
	p->relay[m->from].heard_at = world_now;
	if (m->kind == MESSAGE_REPORT)
		apply_report(p, m);
	else if (m->kind == MESSAGE_PULL)
		answer_pull(p, m);
	else if (m->text == FOLLOW_CONFIG)
		process_receive_config(p, m->version);
	else
		process_apply_list(p, m);
}

/* Candidates of the data centre. */
static uint32_t
count_silent(const struct process *p)
{
	uint32_t n = 0;
	uint32_t i;

	for (i = 0; i < WORLD_ZONE_SIZE; i++)
		n += (uint32_t)p->relay[p->zone * WORLD_ZONE_SIZE + i].silent;
	return n;
}

/* As entry/relays.c does. */
static void
choose_relays(struct process *p)
{
	struct hub *all[WORLD_PROCESSES];
	struct hub *out[WORLD_PROCESSES];
	uint32_t self = process_index(p);
	uint32_t first;
	uint32_t end;
	uint32_t silent;
	uint32_t n = 0;
	uint32_t i;
	int fleet = world_is_relay(self);

	for (i = 0; fleet && !p->knows_fleet && i < WORLD_PROCESSES; i++) {
		if (world[i].zone == p->zone)
			continue;
		p->relay[i].hub_since = 0;
		p->relay[i].silent = 0;
	}
	p->knows_fleet = fleet;
	p->knew_fleet |= fleet;
	first = fleet ? 0 : p->zone * WORLD_ZONE_SIZE;
	end = fleet ? WORLD_PROCESSES : first + WORLD_ZONE_SIZE;
	for (i = first; i < end; i++)
		all[n++] = &p->relay[i];
	silent = count_silent(p);
	n = relays_choose(all, n, world_now, SILENT_NS, out);
	if (count_silent(p) > silent)
		p->tells_zone |= roll_call_start(&p->roll_call, world_now);
	if (roll_call_is_over(&p->roll_call, world_now)) {
		for (i = 0; i < WORLD_ZONE_SIZE; i++)
			roll_call_judge(&p->roll_call,
			    &p->relay[p->zone * WORLD_ZONE_SIZE + i]);
	}
	p->my_relay = WORLD_PROCESSES;
	for (i = 0; i < n; i++) {
		if (strcmp(out[i]->zone, p->relay[self].zone) == 0)
			p->my_relay = (uint32_t)(out[i] - p->relay);
	}
}

static void
choose_hubs(struct process *p)
{
	struct hub *all[WORLD_PROCESSES];
	struct hub *hubs[HUBS_MAX];
	uint32_t first = p->knew_fleet ? 0 : p->zone * WORLD_ZONE_SIZE;
	uint32_t end =
	    p->knew_fleet ? WORLD_PROCESSES : first + WORLD_ZONE_SIZE;
	uint32_t n = 0;
	uint32_t i;

	for (i = first; i < end; i++) {
		if (p->relay[i].hub_since != 0)
			all[n++] = &p->hub[i];
		else
			p->hub[i].hub_since = 0;
	}
	p->nhubs = hubs_choose(all, n, world_now, SILENT_NS, hubs);
}

static void
tick(struct process *p)
{
	uint32_t self = process_index(p);
	unsigned todo;

	p->hub[self].weight = p->up ? p->weight : 0;
	p->relay[self].weight = p->hub[self].weight;
	choose_relays(p);
	choose_hubs(p);
	if (p->tells_zone || p->reported_weight != p->hub[self].weight)
		tell_zone(p);
	if (world_now >= p->report_at) {
		p->report_at = world_now + REPORT_NS;
		report(p);
	}
	if (p->decoding == 0) {
		todo = follow_next(&p->follow, world_now);
		if (todo & FOLLOW_PULL)
			process_pull(p,
			    (uint32_t)strtoul(p->follow.source, NULL, 10),
			    FOLLOW_CONFIG, 0);
		if ((todo & FOLLOW_READ) && p->feeds[FOLLOW_CONFIG].idle)
			store_read(p, FOLLOW_CONFIG);
	}
	answer_waiting(p);
	store_tick(p);
	p->tick_at =
	    world_now + (world_is_relay(self) ? TICK_DUTY_NS : TICK_NS);
}

uint32_t
world_draw(uint32_t n)
{
	random_state =
	    random_state * 6364136223846793005ULL + 1442695040888963407ULL;
	return (uint32_t)(random_state >> 33) % n;
}

static void
start_process(uint32_t i)
{
	struct process *p = &world[i];
	uint32_t k;

	p->zone = i / WORLD_ZONE_SIZE;
	p->weight = 50 + i % WORLD_ZONE_SIZE % 7;
	p->reported_weight = p->weight;
	p->up = 1;
	p->answered_at = world_now;
	p->tick_at = world_now + world_draw(5) * WORLD_STEP_NS;
	p->report_at = world_now + world_draw(20) * WORLD_STEP_NS;
	follow_set_version(&p->follow, world_now, store_version());
	process_start_list(p);
	for (k = 0; k < FOLLOW_TEXT__MAX; k++) {
		p->feeds[k].idle = 1;
		p->feeds[k].retry_ns = 50 * NSEC_PER_MSEC;
	}
	for (k = 0; k < WORLD_PROCESSES; k++) {
		snprintf(p->hub[k].addr, ADDR_SIZE, "%03u", k);
		snprintf(p->hub[k].zone, NAME_SIZE, "z%u", k / WORLD_ZONE_SIZE);
		p->hub[k].weight = 50 + k % WORLD_ZONE_SIZE % 7;
		p->hub[k].heard_at = world_now;
		p->hub[k].self = k == i;
		p->relay[k] = p->hub[k];
	}
}

void
world_start(uint64_t seed)
{
	uint32_t i;

	random_state = seed;
	world_now = START_NS;
	world_calls = 0;
	world_texts = 0;
	TAILQ_INIT(&queue);
	store_start();
	world = mem_alloc(WORLD_PROCESSES * sizeof(*world));
	for (i = 0; i < WORLD_PROCESSES; i++)
		start_process(i);
	world_run(SETTLE_NS);
}

void
world_end(void)
{
	struct message *m;
	uint32_t i;

	while ((m = TAILQ_FIRST(&queue)) != NULL) {
		TAILQ_REMOVE(&queue, m, entry);
		free(m);
	}
	for (i = 0; i < WORLD_PROCESSES; i++)
		pulls_clear(&world[i].pulls);
	free(world);
}

/* A frozen process gets what is sent to it afterwards. */
static void
deliver_due(void)
{
	struct message_list later;
	struct message *m;

	TAILQ_INIT(&later);
	while ((m = TAILQ_FIRST(&queue)) != NULL && m->due <= world_now) {
		TAILQ_REMOVE(&queue, m, entry);
		if (world[m->to].fault == FAULT_FROZEN) {
			TAILQ_INSERT_TAIL(&later, m, entry);
			continue;
		}
		deliver(m);
		free(m);
	}
	TAILQ_CONCAT(&later, &queue, entry);
	TAILQ_CONCAT(&queue, &later, entry);
}

static void
run_process(struct process *p)
{
	if (p->fault == FAULT_DEAD || p->fault == FAULT_FROZEN)
		return;
	store_answers(p);
	if (p->decoding != 0 && world_now >= p->decoded_at) {
		follow_set_version(&p->follow, world_now, p->decoding);
		p->decoding = 0;
		push_config(p);
	}
	if (world_now >= p->tick_at)
		tick(p);
}

void
world_run(uint64_t for_ns)
{
	uint64_t end = world_now + for_ns;
	uint32_t i;

	for (; world_now < end; world_now += WORLD_STEP_NS) {
		deliver_due();
		for (i = 0; i < WORLD_PROCESSES; i++)
			run_process(&world[i]);
	}
}
