/*
 * What callers' connections hold in memory: requests that are not whole yet,
 * and whole ones.  Answers callers that send many bodies and do not finish
 * them.
 */
#include "caller_int.h"
#include "metric.h"

/* Parts of the VM's memory for unfinished requests, and for whole ones. */
#define UNFINISHED_SHARE 8
#define WHOLE_SHARE 8
/* The same for answers that callers have not read. */
#define UNSENT_SHARE 6
/* Upper limit of each kind, for VMs with much memory. */
#define HELD_MAX_BYTES (48ULL << 20)
/* Least limit, in bodies of the largest size: a buffer may have twice that. */
#define LARGEST_FACTOR 3
/* The caller's body, the composed request and the output buffer. */
#define WHOLE_COPIES 3
/* Descriptors of files, which the platform sets aside. */
#define FILE_DESCRIPTORS 200
/* Of the others, the rest is for replicas, peers and the store. */
#define CALLER_DESCRIPTORS_SHARE 0.75

static size_t most(const struct entry *, size_t);
static struct caller *oldest_unfinished(
    const struct entry *, const struct caller *);
static struct caller *oldest_idle(const struct entry *);

static size_t
most(const struct entry *e, size_t share)
{
	uint64_t n = (e->boot.memory_mb << 20) / share;
	uint64_t least = e->conf == NULL
	    ? 0
	    : e->conf->limits.max_body_bytes * LARGEST_FACTOR;

	if (n > HELD_MAX_BYTES)
		n = HELD_MAX_BYTES;
	return n > least ? n : least;
}

void
caller_held_clear(struct caller *c)
{
	c->e->held.unfinished -= c->held;
	c->e->held.whole -= c->held_whole;
	c->held = 0;
	c->held_whole = 0;
}

void
caller_held_update(struct caller *c)
{
	caller_held_clear(c);
	c->held = c->pipelined.capacity;
	if (c->in_request)
		c->held_whole = buf_len(&c->body) * WHOLE_COPIES;
	else
		c->held += c->body.capacity + http_reader_head_bytes(c->reader);
	c->e->held.unfinished += c->held;
	c->e->held.whole += c->held_whole;
}

/*
 * The one without progress for the longest time; those whose request is whole,
 * and who have sent more behind it, come after all others.
 */
static struct caller *
oldest_unfinished(const struct entry *e, const struct caller *but)
{
	struct caller *oldest = NULL;
	struct caller *c;

	TAILQ_FOREACH (c, &e->callers, entry) {
		if (c == but || c->held == 0)
			continue;
		if (oldest == NULL || c->in_request < oldest->in_request ||
		    (c->in_request == oldest->in_request &&
			c->progress_at < oldest->progress_at))
			oldest = c;
	}
	return oldest;
}

void
caller_evict(struct caller *c, const char *why)
{
	c->e->held.evicted++;
	log_event(LOG_CALLER_DROPPED, NULL, "%s held=%zu silent_ms=%llu", why,
	    c->held,
	    (unsigned long long)((c->e->now - c->progress_at) / NSEC_PER_MSEC));
	caller_drop(c);
}

int
caller_held_make_room(struct caller *c)
{
	struct entry *e = c->e;
	struct caller *other;

	while (e->held.unfinished > most(e, UNFINISHED_SHARE)) {
		/* A stop iterates over the list of callers. */
		other = e->stopping ? NULL : oldest_unfinished(e, c);
		if (other == NULL)
			return 0;
		caller_evict(other, "unfinished");
	}
	return 1;
}

int
caller_held_fits(struct caller *c)
{
	const struct entry *e = c->e;

	return e->held.whole == 0 ||
	    e->held.whole + buf_len(&c->body) * WHOLE_COPIES <=
	    most(e, WHOLE_SHARE);
}

/* The oldest without a request, or else one that has sent many ahead. */
static struct caller *
oldest_idle(const struct entry *e)
{
	struct caller *oldest = NULL;
	struct caller *c;

	TAILQ_FOREACH (c, &e->callers, entry) {
		if (!c->in_request &&
		    (oldest == NULL || c->progress_at < oldest->progress_at))
			oldest = c;
	}
	return oldest != NULL ? oldest : oldest_unfinished(e, NULL);
}

int
callers_make_room(struct entry *e)
{
	double n = (double)e->boot.descriptors - FILE_DESCRIPTORS;
	struct caller *c;

	if (n < FILE_DESCRIPTORS)
		n = FILE_DESCRIPTORS;
	if (e->held.ncallers < n * CALLER_DESCRIPTORS_SHARE)
		return 1;
	c = oldest_idle(e);
	if (c == NULL)
		return 0;
	caller_evict(c, "connections");
	return 1;
}

/* Closes the connections with the most unread bytes until the rest fits. */
void
callers_bound_answers(struct entry *e)
{
	struct caller *largest;
	struct caller *c;
	size_t n;

	do {
		e->held.unsent = 0;
		largest = NULL;
		TAILQ_FOREACH (c, &e->callers, entry) {
			n = conn_unsent_bytes(c->conn);
			e->held.unsent += n;
			if (n != 0 &&
			    (largest == NULL ||
				n > conn_unsent_bytes(largest->conn)))
				largest = c;
		}
		if (e->held.unsent > most(e, UNSENT_SHARE) && largest != NULL)
			caller_evict(largest, "unread");
	} while (e->held.unsent > most(e, UNSENT_SHARE) && largest != NULL);
}

void
callers_write_held(const struct entry *e, FILE *f)
{
	metric_write(f, "spindle_entry_callers", "gauge",
	    "Connections of callers.", e->held.ncallers);
	metric_write(f, "spindle_entry_unfinished_bytes", "gauge",
	    "Held for requests that are not whole.", e->held.unfinished);
	metric_write(f, "spindle_entry_whole_bytes", "gauge",
	    "Held for whole requests.", e->held.whole);
	metric_write(f, "spindle_entry_unsent_bytes", "gauge",
	    "Held of answers that callers have not read.", e->held.unsent);
	metric_write(f, "spindle_entry_callers_dropped_total", "counter",
	    "Callers' connections closed to make room for others.",
	    e->held.evicted);
}
