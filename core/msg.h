/*
 * Messages between the system's processes.  Delivery is lossy and unordered:
 * every message is idempotent and carries the sender's address, incarnation
 * and a sequence number.  Times on the wire are remaining nanoseconds, since
 * monotonic clocks differ between VMs; the receiver turns them into deadlines.
 */
#ifndef MSG_H
#define MSG_H

#include <sys/queue.h>

#include "base.h"

#define MSG_VERSION 1
#define MSG_SYNC_MAX 64	      /* grants in one SYNC */
#define MSG_MEMBERS_MAX 8     /* membership entries on one heartbeat */
#define MSG_REPORTS_MAX 32    /* replicas in one REPORT */
#define MSG_BYTES_MAX 1048576 /* longest byte string, a configuration */
#define MSG_LIST_MAX 2048     /* items of one list in FRONT and HELD */
#define MSG_WANTED_SIZE 96    /* MODEL or MODEL/ADAPTER */
#define MSG_ADAPTERS_MAX 64   /* adapters of one model */
#define MSG_CHUNKS_MAX 64

enum msg_kind {
	MSG_NONE,
	MSG_ACQUIRE,	/* gate -> owner: wants a slot */
	MSG_QUEUED,	/* owner -> gate: waits in the queue */
	MSG_GRANT,	/* owner -> gate: slot on a replica */
	MSG_REFUSE,	/* owner -> gate: will not be run */
	MSG_CANCEL,	/* gate -> owner: no longer wanted */
	MSG_RELEASE,	/* gate -> owner: slot is free again */
	MSG_SYNC,	/* gate -> owner: grants held */
	MSG_REPORT,	/* gate -> owner: latencies by replica */
	MSG_HELLO,	/* gate -> local control: versions held */
	MSG_CELL,	/* control -> gate: one cell's routing table */
	MSG_SERVICE,	/* control -> gate: one plain service */
	MSG_MODEL,	/* control -> gate: one declared model */
	MSG_READY,	/* control -> gate: configuration in force */
	MSG_LOAD,	/* owner -> controls: load number, or the whole table */
	MSG_LOAD_PULL,	/* control -> owner: send the whole table */
	MSG_PING,	/* membership probe */
	MSG_PING_REQ,	/* asks a peer to probe a third */
	MSG_ACK,	/* answer to a probe */
	MSG_CONF_PULL,	/* asks for a configuration chunk or the head */
	MSG_CONF_HEAD,	/* revision and chunk hashes */
	MSG_CONF_CHUNK, /* one chunk */
	MSG_SENDER_ASK, /* new owner -> earlier one: any unsent order left? */
	MSG_SENDER_NONE, /* answer: none below a fencing number */
	MSG_FRONT,	 /* entry -> entries: work under way and demand */
	MSG_HELD,	 /* holder of orders -> entries: adapters held, models
			  * that leave */
	MSG_WANT,	 /* entry -> holder: a model or adapter is asked for */
	MSG__MAX
};

enum job_class {
	CLASS_INTERACTIVE, /* someone waits for the first token */
	CLASS_STANDARD,	   /* someone waits for the end */
	CLASS_OVERNIGHT,   /* must be done by its deadline */
	CLASS__MAX
};

enum refuse_reason {
	REFUSE_NONE,
	REFUSE_NO_MODEL, /* not declared, or no copy in this cell */
	REFUSE_DEADLINE, /* cannot begin before its deadline */
	REFUSE_OVERLOAD, /* the queue is full */
	REFUSE__MAX
};

enum release_outcome {
	RELEASE_DONE,
	RELEASE_CANCELLED,
	RELEASE_FAILED, /* the replica failed */
	RELEASE_UNUSED, /* the grant came too late */
	RELEASE__MAX
};

/* Identifies one attempt of one request: rid is unique over all gates. */
struct job_key {
	uint64_t rid;
	uint32_t attempt;
	uint32_t pad; /* zero, so that keys compare bytewise */
};

struct msg_acquire {
	struct job_key key;
	char model[NAME_SIZE];
	char adapter[NAME_SIZE];
	char exclude[NAME_SIZE]; /* replica not to be chosen, or "" */
	uint32_t job_class;
	uint32_t tokens;   /* most tokens to be generated */
	uint64_t prefix;   /* hash of the prompt's prefix, 0 for none */
	uint64_t slack_ns; /* until the latest useful start */
};

struct msg_grant {
	struct job_key key;
	uint64_t grant_id;
	char replica[NAME_SIZE];
};

struct msg_refuse {
	struct job_key key;
	uint32_t reason;
};

struct msg_release {
	struct job_key key;
	uint64_t grant_id;
	uint32_t outcome;
	uint32_t tokens;
	uint64_t first_ns; /* to the first token, 0 when none came */
	uint64_t token_ns; /* mean time between tokens, 0 when unknown */
};

struct msg_sync {
	uint32_t n;
	struct msg_sync_item {
		struct job_key key;
		uint64_t grant_id;
		char replica[NAME_SIZE];
		uint32_t is_long;
	} items[MSG_SYNC_MAX];
};

struct msg_report {
	uint32_t n;
	struct msg_report_item {
		char replica[NAME_SIZE];
		uint64_t first_ns;   /* mean, 0 when no sample */
		uint64_t token_ns;   /* mean, 0 when no sample */
		uint64_t waiting_ns; /* oldest attempt with no token, 0 none */
	} items[MSG_REPORTS_MAX];
};

struct msg_hello {
	char vm[NAME_SIZE];
	uint64_t cells_hash;	/* hash over (cell, version) held */
	uint64_t services_hash; /* hash over (service, version) held */
	uint64_t models_hash;	/* hash over (model, version) held */
};

struct msg_replica {
	char name[NAME_SIZE];
	char addr[ADDR_SIZE];
	uint32_t leaving;
	uint32_t batch; /* sequences run at once, 0 unknown */
	uint32_t nmodels;
	char models[REPLICA_MODELS_MAX][NAME_SIZE];
};

struct msg_cell {
	char cell[NAME_SIZE];
	uint64_t version;
	char owner[ADDR_SIZE]; /* "" when nobody owns it */
	uint64_t owner_incarnation;
	uint64_t fence;
	uint32_t load;	  /* outstanding work per slot, in percent */
	uint32_t removed; /* the cell is no longer declared */
	uint64_t pace_ns; /* SYNC and REPORT no more often than this */
	uint32_t nreplicas;
	struct msg_replica replicas[CELL_REPLICAS_MAX];
};

struct msg_service {
	char name[NAME_SIZE];
	char prefix[PATH_SIZE];
	uint64_t version;
	uint32_t removed;
	uint32_t repeatable; /* bit set of http methods, see METHOD_* */
	uint32_t nbackends;
	struct msg_backend {
		char name[NAME_SIZE];
		char addr[ADDR_SIZE];
		uint32_t leaving;
	} backends[CELL_REPLICAS_MAX];
};

struct msg_model {
	char name[NAME_SIZE];
	uint64_t version;
	uint32_t removed;
	uint32_t priority;
	uint32_t nadapters;
	char adapters[MSG_ADAPTERS_MAX][NAME_SIZE];
};

struct msg_ready {
	uint64_t revision;
	uint32_t ready;
};

enum load_content {
	LOAD_NUMBER,	    /* only the load number */
	LOAD_TABLE,	    /* the table follows, from the owner */
	LOAD_TABLE_RELAYED, /* the last table that a peer knows */
	LOAD__MAX
};

struct msg_load {
	char cell[NAME_SIZE];
	uint64_t fence;
	uint64_t version; /* hash of the table */
	uint32_t load;
	uint32_t content; /* enum load_content */
	uint32_t nreplicas;
	struct msg_replica replicas[CELL_REPLICAS_MAX];
};

enum member_state {
	MEMBER_ALIVE,
	MEMBER_SUSPECT,
	MEMBER_DEAD,
	MEMBER_LEAVING,
	MEMBER__MAX
};

struct msg_member {
	char addr[ADDR_SIZE];
	uint64_t incarnation;
	uint32_t state;
};

struct msg_ping {
	uint64_t probe;		/* matched by the ACK */
	uint64_t revision;	/* configuration held by the sender */
	char target[ADDR_SIZE]; /* PING_REQ: who is to be probed */
	uint32_t n;
	struct msg_member members[MSG_MEMBERS_MAX];
};

struct msg_conf {
	uint64_t revision;
	uint64_t nonce;
	uint32_t nhashes;
	uint64_t hashes[MSG_CHUNKS_MAX];
	uint32_t len;
	char *bytes; /* owned by the message */
};

struct msg_sender_none {
	char cell[NAME_SIZE];
	uint64_t fence;
};

struct msg_front {
	char vm[NAME_SIZE];
	uint64_t version;	/* of the configuration in force */
	uint64_t list_revision; /* revision of the list of replicas */
	uint64_t list_digest;	/* of that list */
	uint32_t stopping;
	uint32_t weight; /* see hubs.h */
	uint32_t nwork;
	struct msg_work {
		char replica[NAME_SIZE];
		uint32_t running;
		uint32_t unread_us;
		uint32_t recent_us;
		uint32_t tokens;
	} * work; /* owned by the message */
	uint32_t ndemand;
	struct msg_demand {
		char wanted[MSG_WANTED_SIZE];
		uint64_t arrivals; /* since the process started */
		uint32_t running;
		uint32_t waiting;
	} * demand; /* owned by the message */
};

/* The table of adapters: whole, or the replicas where it changed. */
struct msg_held {
	uint64_t fence;
	uint32_t is_full;
	uint32_t n;
	struct msg_held_item {
		char replica[NAME_SIZE];
		char name[MSG_WANTED_SIZE]; /* adapter, leaving model, or "" */
		uint64_t replica_start; /* start of the replica that holds it */
	} * items;			/* owned by the message */
};

struct msg_want {
	char wanted[MSG_WANTED_SIZE];
};

struct msg {
	TAILQ_ENTRY(msg) entry;
	enum msg_kind kind;
	struct node_id from;
	uint64_t seq;
	size_t size; /* bytes allocated */
	char to[ADDR_SIZE];
	union {
		struct msg_acquire acquire;
		struct job_key key; /* QUEUED, CANCEL */
		struct msg_grant grant;
		struct msg_refuse refuse;
		struct msg_release release;
		struct msg_sync sync;
		struct msg_report report;
		struct msg_hello hello;
		struct msg_cell cell;
		struct msg_service service;
		struct msg_model model;
		struct msg_ready ready;
		struct msg_load load;
		struct msg_ping ping;
		struct msg_conf conf;
		struct msg_sender_none sender_none;
		struct msg_front front;
		struct msg_held held;
		struct msg_want want;
	} u;
};

TAILQ_HEAD(msg_list, msg);

/* Bytes of a replica up to its last model, and a hash of them. */
#define MSG_REPLICA_FIXED_SIZE offsetof(struct msg_replica, models)
uint64_t msg_replica_hash(const struct msg_replica *);

#define METHOD_GET 1U
#define METHOD_PUT 2U
#define METHOD_DELETE 4U
#define METHOD_POST 8U
#define METHOD_PATCH 16U
#define METHOD_HEAD 32U

/* Bit of an HTTP method, 0 when it is not known. */
uint32_t msg_method_bit(const char *);

/* Allocates a zeroed message; only the part its kind uses is allocated. */
struct msg *msg_create(enum msg_kind, const char *);
/* A LOAD, LOAD_PULL or CELL with room for so many replicas. */
struct msg *msg_create_table(enum msg_kind, const char *, uint32_t);
struct msg *msg_copy(const struct msg *);
void msg_destroy(struct msg *);
const char *msg_name(enum msg_kind);

#endif
