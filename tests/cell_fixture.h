/*
 * A cell's owner, with a key-value service and one engine in virtual time, for
 * its tests.
 */
#ifndef CELL_FIXTURE_H
#define CELL_FIXTURE_H

#include "cell.h"

#define MODELS 3
#define KEYS_MAX 8

/* Two versions of the first model; the later one is declared. */
enum {
	VERSION_OLD,
	VERSION_NEW,
	LARGE,
	SMALL,
	COPIES
};

/* An engine; it may restart after a load. */
struct fixture_engine {
	uint64_t incarnation;
	int loaded[COPIES];
	int loads_until_restart; /* 0: none */
	int unloads;
	int silent; /* does not answer INDEX */
	int refuses_load[COPIES];
};

struct fixture_key {
	char key[KV_KEY_SIZE];
	char *value; /* NULL: absent */
	uint64_t revision;
};

extern const char *const versions[COPIES];
extern struct fixture_engine engine;
extern struct fixture_key keys[KEYS_MAX];
extern struct cell_core *cell;
extern struct conf conf;
/* Only the first is declared at the start. */
extern struct conf_model models[MODELS];
extern uint64_t now;
extern int kv_down;
/* The next write with this text is answered only when it is released. */
extern const char *hold_text;
extern struct kv_op *held_op;
/* In a ledger without delegated memory. */
extern const char no_headroom[];
/* The service goes down with the write that releases the headroom. */
extern int lose_release;

/* A process that takes the cell over, with the stored ledger. */
void setup(const char *);
void teardown(void);
/* The key's record, or an unused one. */
size_t kv_find(const char *);
void kv_put(size_t, const char *);
void kv_remove(size_t);
void kv_answer(const struct kv_op *);
void engine_restart(void);
/* Orders take one step, operations of the key-value service no time. */
void step(void);
void advance(uint64_t);

#endif
