/* Parts of stream_io: the versions listed in the service, and the records. */
#ifndef STREAM_IO_INT_H
#define STREAM_IO_INT_H

#include "forward_int.h"
#include "origins.h"
#include "software.h"
#include "stream_io.h"
#include "stream_record.h"

/* Between calls of a kind after one that failed. */
#define STREAM_RETRY_NS (500 * NSEC_PER_MSEC)
struct record_queue {
	struct origin *o;
	uint32_t n;
	uint32_t size; /* allocated */
};

struct stream_io {
	struct entry *e;
	struct software *software; /* seen here within a stream's life */
	struct origins *origins;
	uint64_t digest; /* of the list when its versions were seen */
	uint64_t see_at;
	uint64_t era; /* of the service */
	/* The versions as the service lists them. */
	char *text;	   /* NULL: not known */
	uint64_t changes;  /* of software that it has been compared with */
	uint64_t revision; /* of the key, 0: it does not exist */
	int calling;	   /* it is being read or written */
	uint64_t call_at;  /* not before */
	int read;	   /* it has been read since the start */
	int writes;	   /* this process keeps it up to date */
	/* As read for the latest take-up, with what is listed here. */
	struct software *listed;
	uint64_t listed_at; /* when that read was sent, 0: never */
	/* Records. */
	struct record_queue passed;  /* to the first hub */
	struct record_queue written; /* by this process */
	uint64_t write_at;	     /* not before */
	uint64_t lease;		     /* that they are bound to, 0: none */
	uint64_t lease_at;
	int granting;
	uint64_t grant_at; /* not before */
};

/* stream_io.c */
/* Sends an operation on a key, or for a lease of 120 s. */
void stream_io_send(struct stream_io *, enum kv_op_kind, const char *,
    void (*)(void *, const struct kv_result *), void *);
/* stream_versions.c */
/*
 * Reads which versions the service lists once; the first hub keeps them up to
 * date.
 */
void stream_versions_tick(struct stream_io *);
/* Lists them anew, since the service has gone on from an older copy. */
void stream_versions_reset(struct stream_io *);
/* stream_recorder.c */
/* A stream is to be recorded. */
void stream_recorder_add(struct stream_io *, const struct origin *);
/* Passes records on to the first hub, or writes them. */
void stream_recorder_tick(struct stream_io *);
void stream_recorder_clear(struct stream_io *);

#endif
