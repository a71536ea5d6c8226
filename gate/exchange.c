#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "exchange.h"
#include "mem.h"

#define EXCHANGE_UNREAD_BYTES_MAX (40U << 20) /* of one caller */

TAILQ_HEAD(response_part_list, response_part);

struct exchange {
	struct exchange_info info;
	UT_hash_handle hh;
	pthread_mutex_t lock;
	pthread_cond_t cond;
	struct response_part_list parts;
	size_t unread_bytes;
	int refs;
	int done;
	enum gate_outcome outcome;
	uint64_t reopen_at;
	char *text; /* gate loop only */
	size_t text_len;
	size_t text_size;
};

static void exchange_append_text(struct exchange *, const char *);
static void exchange_free(struct exchange *);

static pthread_mutex_t exchanges_lock = PTHREAD_MUTEX_INITIALIZER;
static struct exchange *exchanges;

struct response_part *
response_part_create(
    int status, const char *type, const char *bytes, size_t len)
{
	struct response_part *p;

	p = mem_alloc(sizeof(*p));
	p->status = status;
	snprintf(p->type, sizeof(p->type), "%s", type);
	p->bytes = mem_alloc(len + 1);
	if (len != 0)
		memcpy(p->bytes, bytes, len);
	p->len = len;
	return p;
}

void
response_part_destroy(struct response_part *p)
{
	if (p == NULL)
		return;
	free(p->bytes);
	free(p->text);
	free(p);
}

/* Takes ownership of the memory that info points to. */
struct exchange *
exchange_create(struct exchange_info *info)
{
	struct exchange *x;

	x = mem_alloc(sizeof(*x));
	x->info = *info;
	x->refs = 1;
	TAILQ_INIT(&x->parts);
	pthread_mutex_init(&x->lock, NULL);
	pthread_cond_init(&x->cond, NULL);
	pthread_mutex_lock(&exchanges_lock);
	HASH_ADD(hh, exchanges, info.req.rid, sizeof(uint64_t), x);
	pthread_mutex_unlock(&exchanges_lock);
	return x;
}

struct exchange *
exchange_find(uint64_t rid)
{
	struct exchange *x;

	pthread_mutex_lock(&exchanges_lock);
	HASH_FIND(hh, exchanges, &rid, sizeof(rid), x);
	if (x != NULL)
		exchange_ref(x);
	pthread_mutex_unlock(&exchanges_lock);
	return x;
}

void
exchange_ref(struct exchange *x)
{
	__atomic_fetch_add(&x->refs, 1, __ATOMIC_RELAXED);
}

static void
exchange_free(struct exchange *x)
{
	struct response_part *p;

	while ((p = TAILQ_FIRST(&x->parts)) != NULL) {
		TAILQ_REMOVE(&x->parts, p, entry);
		response_part_destroy(p);
	}
	pthread_mutex_destroy(&x->lock);
	pthread_cond_destroy(&x->cond);
	free(x->info.target);
	free(x->info.headers);
	free(x->info.body);
	json_decref(x->info.doc);
	free(x->text);
	free(x);
}

void
exchange_unref(struct exchange *x)
{
	if (__atomic_sub_fetch(&x->refs, 1, __ATOMIC_ACQ_REL) == 0)
		exchange_free(x);
}

void
exchange_unregister(struct exchange *x)
{
	pthread_mutex_lock(&exchanges_lock);
	HASH_DEL(exchanges, x);
	pthread_mutex_unlock(&exchanges_lock);
}

const struct exchange_info *
exchange_info(const struct exchange *x)
{
	return &x->info;
}

static void
exchange_append_text(struct exchange *x, const char *text)
{
	size_t len = strlen(text);

	if (x->text_len + len + 1 > x->text_size) {
		x->text_size = 2 * (x->text_len + len + 1);
		x->text = mem_grow(x->text, x->text_size, 1);
	}
	memcpy(x->text + x->text_len, text, len + 1);
	x->text_len += len;
}

int
exchange_push_part(struct exchange *x, struct response_part *p)
{
	int rv = 0;

	if (p->text != NULL)
		exchange_append_text(x, p->text);
	pthread_mutex_lock(&x->lock);
	x->unread_bytes += p->len;
	if (x->unread_bytes > EXCHANGE_UNREAD_BYTES_MAX)
		rv = -1;
	TAILQ_INSERT_TAIL(&x->parts, p, entry);
	pthread_cond_signal(&x->cond);
	pthread_mutex_unlock(&x->lock);
	return rv;
}

void
exchange_finish(
    struct exchange *x, enum gate_outcome outcome, uint64_t reopen_at)
{
	pthread_mutex_lock(&x->lock);
	x->done = 1;
	x->outcome = outcome;
	x->reopen_at = reopen_at;
	pthread_cond_signal(&x->cond);
	pthread_mutex_unlock(&x->lock);
}

void
exchange_abandon(struct exchange *x)
{
	pthread_mutex_lock(&x->lock);
	if (!x->done)
		x->outcome = OUTCOME_CLOSING;
	x->done = 1;
	pthread_cond_signal(&x->cond);
	pthread_mutex_unlock(&x->lock);
}

enum exchange_event
exchange_next_event(
    struct exchange *x, struct response_part **part, enum gate_outcome *outcome)
{
	enum exchange_event next = EXCHANGE_EVENT_PART;

	pthread_mutex_lock(&x->lock);
	while (TAILQ_EMPTY(&x->parts) && !x->done)
		pthread_cond_wait(&x->cond, &x->lock);
	*part = TAILQ_FIRST(&x->parts);
	*outcome = x->outcome;
	if (*part != NULL) {
		TAILQ_REMOVE(&x->parts, *part, entry);
		x->unread_bytes -= (*part)->len;
	} else if (x->outcome == OUTCOME_ANSWERED) {
		next = EXCHANGE_EVENT_END;
	} else {
		next = EXCHANGE_EVENT_FAILED;
	}
	pthread_mutex_unlock(&x->lock);
	return next;
}

uint64_t
exchange_reopen_at(struct exchange *x)
{
	uint64_t reopen_at;

	pthread_mutex_lock(&x->lock);
	reopen_at = x->reopen_at;
	pthread_mutex_unlock(&x->lock);
	return reopen_at;
}

const char *
exchange_generated_text(const struct exchange *x)
{
	return x->text == NULL ? "" : x->text;
}
