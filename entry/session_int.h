/* Calls and watched lists of one session with the key-value service. */
#ifndef SESSION_INT_H
#define SESSION_INT_H

#include "query.h"
#include "store.h"

enum list_id {
	LIST_CONFIG,
	LIST_REPLICAS,
	LIST_PEERS,
	LIST__MAX
};

/* A key that a list holds, with its value as the service has it. */
struct list_key {
	char key[KV_KEY_SIZE];
	char *value;
	size_t len;
	uint64_t revision;
	uint32_t reading; /* of the whole list that it was last seen in */
	UT_hash_handle hh;
};

/* Keys below a prefix, read whole once and then watched. */
struct list {
	struct session *s;
	enum list_id id;
	const char *prefix;
	ev_timer retry;
	double pause_s;
	double rest_s;	   /* until it is looked at again without a watch */
	int resting;	   /* neither read nor watched for now */
	int stale;	   /* the answer under way may be old */
	uint64_t at;	   /* revision up to which it is known */
	uint64_t begun_at; /* revision when the reading began, 0 for none */
	uint32_t reading;  /* number of the latest reading */
	char after[KV_KEY_SIZE];
	struct list_key *keys;
};

struct session {
	struct entry *e;
	struct list lists[LIST__MAX];
	uint64_t ncalls;
	uint32_t failures;
	int up;
	int closing;
};

/* Sends a call and clears it; the answer comes later, status 0 for none. */
void session_call(
    struct session *, struct store_request *, double, query_answer, void *);

/* lists.c */
void lists_start(struct session *);
void lists_stop(struct session *);
/* Takes in one entry, or its removal. */
void list_item(struct list *, const struct store_item *);
void list_drop(struct list *, struct list_key *);
/* news.c */
/* What a watch told of the replicas since a revision, for peers. */
char *session_news_text(
    const struct session *, uint64_t, const struct store_page *);

#endif
