/*
 * Memory ledger of one backend server: what is promised on each accelerator.
 * An entry counts in full from before its first order is sent until the
 * engine has confirmed its unload and no earlier order can still arrive.
 */
#ifndef LEDGER_H
#define LEDGER_H

#include "base.h"
#include "conf.h"
#include "err.h"

#define LEDGER_ENTRIES_MAX 64
#define LEDGER_SENDERS_MAX 4

enum entry_state {
	ENTRY_LOADING,
	ENTRY_RESIDENT,
	ENTRY_UNLOADING,
	ENTRY__MAX
};

/* A process that may still hold an unsent order for the entry. */
struct entry_sender {
	struct node_id id;
};

struct ledger_entry {
	uint64_t id;
	char model[NAME_SIZE];
	char version[NAME_SIZE];
	uint32_t accelerator;
	uint64_t memory_mb;
	enum entry_state state;
	uint32_t nsenders;
	struct entry_sender senders[LEDGER_SENDERS_MAX];
	/* not stored: */
	uint64_t order_id;	 /* in flight, 0 for none */
	uint64_t order_fence;	 /* its fencing number */
	uint64_t retry_at;	 /* earliest next order */
	uint64_t in_doubt_until; /* an unanswered order may still arrive */
	int confirmed;		 /* the engine confirmed the state */
	int missing;		 /* the engine reports it as not loaded */
};

/* Memory set aside for one incarnation, to use while the service is down. */
struct ledger_delegation {
	struct node_id owner; /* addr "" for none */
	uint32_t accelerator;
	uint64_t memory_mb;
};

struct ledger {
	char backend[NAME_SIZE];
	uint32_t naccelerators;
	uint64_t capacity_mb[CONF_ACCELERATORS_MAX]; /* without the pool */
	uint64_t fence;
	uint64_t engine_incarnation; /* incarnation of the engine, 0 unknown */
	uint64_t next_id;
	struct ledger_delegation delegation;
	uint32_t nentries;
	struct ledger_entry entries[LEDGER_ENTRIES_MAX];
};

/* Sets the capacities from the configuration. */
void ledger_set_capacity(struct ledger *, const struct conf_backend *);
char *ledger_dump(const struct ledger *);
/* Reads a stored ledger; keeps the capacities. */
int ledger_parse(struct ledger *, const char *, struct err *);
/* Memory not promised on an accelerator. */
uint64_t ledger_free_mb(const struct ledger *, uint32_t);
/*
 * Adds an entry for a copy that was found.  Where memory would be promised
 * twice, the copy lies in the delegated memory, which shrinks.
 */
void ledger_adopt_copy(
    struct ledger *, const char *, const char *, uint32_t, uint64_t);
/*
 * Promises memory to a model; NULL when it has an entry
 * or does not fit.
 */
struct ledger_entry *ledger_reserve(struct ledger *, const struct conf_model *,
    uint32_t, const struct node_id *);
struct ledger_entry *ledger_find_id(struct ledger *, uint64_t);
struct ledger_entry *ledger_find_model(
    const struct ledger *, const char *, const char *);
void ledger_remove_entry(struct ledger *, uint64_t);
/* Notes that a process may send orders for the entry. */
int ledger_add_sender(struct ledger_entry *, const struct node_id *);
/* Forgets senders that the callback says hold nothing more. */
void ledger_clear_senders(
    struct ledger *, int (*)(void *, const struct node_id *), void *);
/* Whether only this process could still send an order for the entry. */
int ledger_is_sole_sender(const struct ledger_entry *, const struct node_id *);

#endif
