/*
 * Memory ledger of one backend server: the memory reserved on each
 * accelerator.  An entry reserves its full memory from before its first load
 * order is sent until the engine has confirmed the unload and no earlier order
 * can still arrive.
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
	/* Not stored: */
	uint64_t order_id;	      /* in flight, 0 for none */
	uint64_t order_fencing_token; /* of that order */
	uint64_t retry_at;	      /* earliest next order */
	uint64_t in_doubt_until;      /* an unanswered order may take effect */
	int confirmed;		      /* the engine has reached the state */
	int missing; /* not in the engine's last INDEX answer */
	/* In a recent INDEX answer, and no order was answered since. */
	int listed;
};

/*
 * Memory reserved for one process incarnation, which may load a model into it
 * while the key-value service is unavailable.
 */
struct ledger_delegation {
	struct node_id owner; /* addr "" for none */
	uint32_t accelerator;
	uint64_t memory_mb;
};

struct ledger {
	char backend[NAME_SIZE];
	uint32_t naccelerators;
	uint64_t
	    capacity_mb[CONF_ACCELERATORS_MAX]; /* without adapter_pool_mb */
	uint64_t fence;		     /* fencing token of the last writer */
	uint64_t engine_incarnation; /* 0 unknown */
	uint64_t next_id;
	struct ledger_delegation delegation;
	uint32_t nentries;
	struct ledger_entry entries[LEDGER_ENTRIES_MAX];
};

/* Sets the name and the capacities from the configuration. */
void ledger_set_capacity(struct ledger *, const struct conf_backend *);
/* Encodes the ledger as JSON; the caller frees the text. */
char *ledger_dump(const struct ledger *);
/*
 * Decodes a stored ledger; the capacities are kept.  Returns -1 with ERR_FORMAT
 * for an entry that cannot be decoded.
 */
int ledger_parse(struct ledger *, const char *, struct err *);
/* Unreserved memory of an accelerator, in MB; 0 for an unknown one. */
uint64_t ledger_free_mb(const struct ledger *, uint32_t);
/*
 * Adds a resident entry for a loaded copy that has none.  Where the sum exceeds
 * the capacity, the copy must be in the delegated memory, so the delegation
 * shrinks by the excess.  The caller ensures that there is room for an entry.
 */
void ledger_adopt_copy(
    struct ledger *, const char *, const char *, uint32_t, uint64_t);
/*
 * Adds a loading entry for a model and its first sender.  Returns NULL when
 * the model's version has an entry or the memory does not suffice.
 */
struct ledger_entry *ledger_reserve(struct ledger *, const struct conf_model *,
    uint32_t, const struct node_id *);
struct ledger_entry *ledger_find_id(struct ledger *, uint64_t);
struct ledger_entry *ledger_find_model(
    const struct ledger *, const char *, const char *);
void ledger_remove_entry(struct ledger *, uint64_t);
/*
 * Records that a process may send orders for the entry.  Returns -1 when the
 * list of senders is full.
 */
int ledger_add_sender(struct ledger_entry *, const struct node_id *);
/* Removes the senders for which the callback returns non-zero. */
void ledger_clear_senders(
    struct ledger *, int (*)(void *, const struct node_id *), void *);
/* Whether no other process may still send an order for the entry. */
int ledger_is_sole_sender(const struct ledger_entry *, const struct node_id *);

#endif
