/*
 * Streams that callers take up again: at which version of the software each may
 * go on.  This process knows the streams that passed here.  While a service has
 * several versions, each process records its streams in the key-value service,
 * where the versions of all services are listed as well, so that a stream is
 * known after the process, or all of them, have ended.
 */
#ifndef STREAM_IO_H
#define STREAM_IO_H

#include "entry_int.h"

struct stream_io;
struct stream_lookup;

const char *stream_io_source_name(enum origin_source);
struct stream_io *stream_io_create(struct entry *);
/* Pending calls to the service must have been cancelled. */
void stream_io_destroy(struct stream_io *);
void stream_io_tick(struct stream_io *);
/* The service answers for an era. */
void stream_io_store_era(struct entry *, uint64_t);
/* Records of a peer at an address, to be written or passed on. */
void stream_io_apply_records(
    struct stream_io *, const char *, const char *, size_t);
/* The first event of a request is passed on to its caller. */
void stream_io_begun(struct forward *);
/* Whether a request takes up a stream, so that it is resolved first. */
int stream_io_is_take_up(const struct forward *);
/*
 * Dispatches a request once the version that began its stream is known; refuses
 * it if it cannot be known, or no replica of it is left.
 */
void stream_io_take_up(struct forward *);
/* The request ends. */
void stream_io_forget(struct forward *);

#endif
