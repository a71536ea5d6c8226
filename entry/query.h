/* One HTTP call whose whole answer is wanted, within a time. */
#ifndef QUERY_H
#define QUERY_H

#include "entry_int.h"

/* Status, and the body; status 0 stands for no answer. */
typedef void (*query_answer)(void *, int, const char *, size_t);

/* Sends the request's bytes; the answer always comes, and comes later. */
void query_send(struct entry *, struct conn_pool *, const char *,
    const struct buf *, double, query_answer, void *);
/* Ends all calls under way without an answer. */
void queries_end(struct entry *);

#endif
