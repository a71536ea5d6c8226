/*
 * One entry process and replicas that say that they leave or take no requests,
 * in virtual time, with a list that is late; checks what reaches the replicas.
 */
#ifndef NOTICE_WORLD_H
#define NOTICE_WORLD_H

#include <rapidcheck.h>

#include <cstdio>
#include <cstring>
#include <vector>

extern "C" {
#include "balance.h"
}

constexpr int kReplicas = 4;
constexpr uint32_t kSlots = 8;
constexpr uint64_t kMs = NSEC_PER_MSEC;
constexpr uint64_t kDrain = 2 * NSEC_PER_SEC;
constexpr uint64_t kRefusalDelay = 500 * kMs;
constexpr uint32_t kRefusalRequests = 2;
constexpr uint64_t kLatencyMax = 60 * kMs; /* one way */
constexpr uint64_t kStep = 10 * kMs;

enum OpKind {
	OP_SEND,
	OP_BURST,
	OP_ADVANCE,
	OP_LEAVE,
	OP_REFUSE,
	OP_RESTART,
	OP_LIST,
	OP_UNLIST,
	OP__MAX
};

extern const char *const op_names[OP__MAX];

struct Model {
	int steps = 0;
};

/* From a refusal to the end of the time that it named. */
struct Refusal {
	uint64_t from;
	uint64_t until;
	bool unlisted; /* said to a request for an earlier incarnation */
	uint32_t reached = 0;
};

/* A replica, and what its incarnation has said to the process. */
struct Replica {
	uint64_t started_ms = 1;
	uint64_t listed_ms = 1; /* incarnation in the list */
	bool leaving = false;
	uint64_t refusing_until = 0;
	uint64_t left_at = 0; /* the process passed its word on */
	std::vector<Refusal> refusals;
};

enum Stage {
	CONNECTING,
	REQUEST, /* on its way to the replica */
	ANSWER	 /* on its way back */
};

struct Attempt {
	int replica;
	uint64_t started_ms; /* incarnation that the process meant */
	uint64_t ran_ms;     /* that answered */
	uint64_t sent_at;    /* by its caller, and by the process */
	Stage stage = CONNECTING;
	uint64_t due;
	bool leaving = false; /* the answer says */
	uint64_t closed_ns = 0;
};

class World
{
      public:
	explicit World(uint64_t seed);
	~World();
	void apply(OpKind op, int a, int b);
	void finish();

      private:
	uint64_t latency();
	fleet_replica entry(int i) const;
	directory_replica *find(int i);
	void put(int i);
	bool send(uint64_t sent_at);
	void advance(uint64_t ns);
	void reach(Attempt &a);
	void answered(const Attempt &a);
	void withdraw(int i);

	uint64_t now = 10 * NSEC_PER_SEC;
	uint64_t random_state;
	directory dir;
	Replica replicas[kReplicas];
	std::vector<Attempt> attempts;
};

#endif
