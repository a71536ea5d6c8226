/*
 * Messages between processes.  They may be lost, duplicated or reordered, so
 * each is idempotent and carries the sender's address, incarnation and a
 * sequence number.  Times on the wire are remaining nanoseconds, since
 * monotonic clocks differ between VMs; the receiver converts them to deadlines.
 */
#ifndef MSG_H
#define MSG_H

#include <sys/queue.h>

#include "base.h"
#include "loader_loads.h"
#include "permits.h"
#include "poison.h"
#include "quota.h"

#define MSG_VERSION 6
#define MSG_SYNC_MAX 64	      /* grants in a SYNC */
#define MSG_MEMBERS_MAX 8     /* membership entries in a probe */
#define MSG_REPORTS_MAX 32    /* replicas in a REPORT */
#define MSG_BYTES_MAX 1048576 /* largest byte string */
#define MSG_LIST_MAX 2048     /* items of a list in FRONT and HELD */
#define MSG_WANTED_SIZE 96    /* MODEL or MODEL/ADAPTER */
#define MSG_ADAPTERS_MAX 64   /* adapters of one model */
#define MSG_CHUNKS_MAX 64

enum msg_kind {
	MSG_NONE,
	MSG_ACQUIRE,	    /* gate -> owner: requests a slot */
	MSG_QUEUED,	    /* owner -> gate: request is queued */
	MSG_GRANT,	    /* owner -> gate: slot on a replica */
	MSG_REFUSE,	    /* owner -> gate: request is rejected */
	MSG_CANCEL,	    /* gate -> owner: request is withdrawn */
	MSG_RELEASE,	    /* gate -> owner: slot is free */
	MSG_SYNC,	    /* gate -> owner: all grants in use */
	MSG_REPORT,	    /* gate -> owner: latencies by replica */
	MSG_HELLO,	    /* gate -> local control: hashes of its tables */
	MSG_CELL,	    /* control -> gate: routing table of a cell */
	MSG_SERVICE,	    /* control -> gate: a service */
	MSG_MODEL,	    /* control -> gate: a declared model */
	MSG_READY,	    /* control -> gate: revision and readiness */
	MSG_LOAD,	    /* control -> control: load, optionally the table */
	MSG_LOAD_PULL,	    /* control -> control: asks for a cell's table */
	MSG_PING,	    /* membership probe */
	MSG_PING_REQ,	    /* asks a peer to probe a third process */
	MSG_ACK,	    /* response to a probe */
	MSG_CONF_PULL,	    /* asks for a configuration chunk or the head */
	MSG_CONF_HEAD,	    /* revision and chunk hashes */
	MSG_CONF_CHUNK,	    /* a configuration chunk */
	MSG_SENDER_ASK,	    /* new owner -> earlier one: are orders unsent? */
	MSG_SENDER_NONE,    /* response: none below a fencing token */
	MSG_FRONT,	    /* entry -> entries: work in progress, demand */
	MSG_HELD,	    /* lease holder -> entries: loaded adapters, models
			     * to be unloaded */
	MSG_WANT,	    /* entry -> lease holder: a model or adapter is
			     * requested */
	MSG_PERMIT_REQUEST, /* entry -> pool: a permit for a replica */
	MSG_PERMIT_ANSWER,  /* pool -> entry: a permit, or when there is one */
	MSG_LOADS,	/* stopping lease holder -> entries: loads that count */
	MSG_SHARE_LOAN, /* entry -> pool: a share of all quotas */
	MSG_SHARE_ACK,	/* pool -> entry: the loan has arrived */
	MSG_QUOTA_REQUEST, /* entry -> pool: tokens of an account's quota */
	MSG_QUOTA_ANSWER,  /* pool -> entry: tokens, or when there are some */
	MSG__MAX
};

enum job_class {
	CLASS_INTERACTIVE, /* latency of the first token matters */
	CLASS_STANDARD,	   /* latency of the full response matters */
	CLASS_OVERNIGHT,   /* must complete by its deadline */
	CLASS__MAX
};

enum refuse_reason {
	REFUSE_NONE,
	REFUSE_NO_MODEL, /* not declared, or no copy in this cell */
	REFUSE_DEADLINE, /* cannot start before its deadline */
	REFUSE_OVERLOAD, /* the queue is full */
	REFUSE__MAX
};

enum release_outcome {
	RELEASE_DONE,
	RELEASE_CANCELLED,
	RELEASE_FAILED, /* the replica failed */
	RELEASE_UNUSED, /* the grant arrived too late */
	RELEASE__MAX
};

/* Identifies an attempt of a request; rid is unique across all gates. */
struct job_key {
	uint64_t rid;
	uint32_t attempt;
	uint32_t pad; /* zero, so that keys compare bytewise */
};

struct msg_acquire {
	struct job_key key;
	char model[NAME_SIZE];
	char adapter[NAME_SIZE];
	char exclude[NAME_SIZE]; /* replica to avoid, or "" */
	uint32_t job_class;
	uint32_t tokens;   /* maximum number of generated tokens */
	uint64_t prefix;   /* hash of the prompt's prefix, or 0 */
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
	uint64_t retry_ns; /* until a replica takes requests, 0: unknown */
};

struct msg_release {
	struct job_key key;
	uint64_t grant_id;
	uint32_t outcome;
	uint32_t tokens;
	uint64_t first_ns; /* time to first token, 0: none */
	uint64_t token_ns; /* mean time between tokens, 0: unknown */
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
		uint64_t first_ns; /* mean time to first token, 0: unknown */
		uint64_t token_ns; /* mean time between tokens, 0: unknown */
		uint64_t
		    waiting_ns; /* age of the oldest attempt without a token */
		/* what the replica said of itself */
		uint64_t incarnation; /* that said it, 0: unknown */
		uint64_t closed_ns;   /* takes no requests for, 0: it does */
		uint64_t limit_per_1000_s; /* requests, 0: any number */
		uint64_t limit_ago_ns; /* since it said so, TIME_NEVER: never */
		uint32_t leaving;
	} items[MSG_REPORTS_MAX];
};

struct msg_hello {
	char vm[NAME_SIZE];
	uint64_t cells_hash;	/* set hash of (cell, version) */
	uint64_t services_hash; /* set hash of (service, version) */
	uint64_t models_hash;	/* set hash of (model, version) */
};

struct msg_replica {
	char name[NAME_SIZE];
	char addr[ADDR_SIZE];
	uint64_t incarnation; /* of the engine, 0: unknown */
	uint32_t leaving;
	uint32_t batch; /* concurrent sequences, 0: unknown */
	uint32_t nmodels;
	char models[REPLICA_MODELS_MAX][NAME_SIZE];
};

struct msg_cell {
	char cell[NAME_SIZE];
	uint64_t version;
	char owner[ADDR_SIZE]; /* "": the cell has no owner */
	uint64_t owner_incarnation;
	uint64_t fence;		  /* the owner's fencing token */
	uint32_t load;		  /* outstanding work per slot, percent */
	uint32_t removed;	  /* the cell is no longer declared */
	uint64_t min_interval_ns; /* minimum interval of SYNC and REPORT */
	uint32_t nreplicas;
	struct msg_replica replicas[CELL_REPLICAS_MAX];
};

struct msg_service {
	char name[NAME_SIZE];
	char prefix[PATH_SIZE];
	uint64_t version;
	uint32_t removed;
	uint32_t repeatable; /* idempotent HTTP methods, METHOD_* bits */
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
	LOAD_NUMBER,	    /* load only */
	LOAD_TABLE,	    /* load and table, from the owner */
	LOAD_TABLE_RELAYED, /* latest table known to another node */
	LOAD__MAX
};

struct msg_load {
	char cell[NAME_SIZE];
	uint64_t fence;	  /* the owner's fencing token */
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
	uint64_t probe;		/* repeated by the ACK */
	uint64_t revision;	/* configuration in effect at the sender */
	char target[ADDR_SIZE]; /* PING_REQ: address to probe */
	uint32_t n;
	struct msg_member members[MSG_MEMBERS_MAX];
};

/* CONF_PULL, CONF_HEAD and CONF_CHUNK. */
struct msg_conf {
	uint64_t revision;
	uint64_t nonce;
	uint32_t nhashes;
	uint64_t hashes[MSG_CHUNKS_MAX];
	uint32_t len;
	char *bytes; /* owned by the message */
};

/* SENDER_ASK and SENDER_NONE. */
struct msg_sender_none {
	char cell[NAME_SIZE];
	uint64_t fence; /* the new owner's fencing token */
};

/* Whose work and demand a FRONT contains. */
enum front_scope {
	FRONT_OWN,  /* the sender's */
	FRONT_ZONE, /* a relay's data centre */
	FRONT_ALL,  /* all but the receiver's work, from its relay */
	FRONT__MAX
};

/* Load of entry processes, and what the sender knows of the replicas. */
struct msg_front {
	char vm[NAME_SIZE];
	char zone[NAME_SIZE];	/* the sender's data centre */
	uint32_t scope;		/* enum front_scope */
	uint64_t version;	/* of the configuration in effect */
	uint64_t list_revision; /* short, of the list of replicas */
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
	} * demand;	      /* owned by the message */
	char pool[ADDR_SIZE]; /* to which the sender lends shares of limits */
	uint32_t shares;      /* that it lends, see permits.h */
	uint32_t nlimits;
	struct msg_limit {
		char replica[NAME_SIZE];
		uint64_t started_ms; /* its incarnation */
		uint64_t per_1000_s; /* requests in 1000 s, 0: any number */
		uint64_t ago_ns;     /* since the answer that told */
	} * limits;		     /* owned by the message */
	uint32_t has_evidence; /* on all crashes that the sender knows of */
	uint32_t npoison;
	struct poison_evidence *poison; /* owned by the message */
};

/*
 * Adapters loaded on replicas: all, or those of the replicas that changed.  A
 * replica that is not named has not changed; a table may take several messages.
 */
struct msg_held {
	char holder[ADDR_SIZE]; /* the lease holder; relays pass it on */
	uint64_t fence;		/* the lease holder's fencing token */
	uint32_t n;
	struct msg_held_item {
		char replica[NAME_SIZE];
		char
		    name[MSG_WANTED_SIZE]; /* adapter or leaving model, or "" */
		uint64_t replica_start;	   /* start time of the replica */
	} * items;			   /* owned by the message */
};

struct msg_want {
	char wanted[MSG_WANTED_SIZE];
};

struct msg {
	TAILQ_ENTRY(msg) entry;
	enum msg_kind kind;
	struct node_id from;
	uint64_t seq;
	size_t size; /* allocated bytes */
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
		struct loader_loads loads;
		struct permit_request permit_request;
		struct permit_answer permit_answer;
		struct share_loan share_loan;
		struct share_ack share_ack;
		struct quota_request quota_request;
		struct quota_answer quota_answer;
	} u;
};

TAILQ_HEAD(msg_list, msg);

/* Size of a replica without its models; hash of it and its models. */
#define MSG_REPLICA_FIXED_SIZE offsetof(struct msg_replica, models)
uint64_t msg_replica_hash(const struct msg_replica *);

#define METHOD_GET 1U
#define METHOD_PUT 2U
#define METHOD_DELETE 4U
#define METHOD_POST 8U
#define METHOD_PATCH 16U
#define METHOD_HEAD 32U

/* METHOD_* bit of an HTTP method name, or 0. */
uint32_t msg_method_bit(const char *);

/*
 * Allocates a zeroed message.  The union is only as large as its kind needs, so
 * messages must not be copied by assignment.
 */
struct msg *msg_create(enum msg_kind, const char *);
/* Allocates a LOAD, LOAD_PULL or CELL with room for n replicas. */
struct msg *msg_create_table(enum msg_kind, const char *, uint32_t);
struct msg *msg_copy(const struct msg *);
void msg_destroy(struct msg *);
const char *msg_name(enum msg_kind);

#endif
