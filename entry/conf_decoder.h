/*
 * Decodes configurations on a thread of its own, so that requests are served
 * meanwhile.  All functions are called on the event loop's thread.
 */
#ifndef CONF_DECODER_H
#define CONF_DECODER_H

#include <ev.h>

#include "base.h"
#include "err.h"
#include "fleet.h"

struct conf_decoder;

/* A text that has been decoded. */
struct conf_decoded {
	char *text; /* NULL if it could not be unpacked */
	size_t len;
	char *packed; /* the same, compressed */
	size_t packed_len;
	char source[ADDR_SIZE];	 /* "store" or a peer's address */
	struct fleet_conf *conf; /* NULL if the text is malformed */
	struct err err;		 /* in that case */
	uint64_t decode_ns;	 /* time that it took */
};

/*
 * Starts the thread.  The callback gets each decoded text, and takes over
 * what it sets to NULL.  Returns NULL with the
 * error filled in if the thread cannot be started.
 */
struct conf_decoder *conf_decoder_create(struct ev_loop *,
    void (*)(void *, struct conf_decoded *), void *, struct err *);
/* Waits for the text that is being decoded; the queued ones are dropped. */
void conf_decoder_destroy(struct conf_decoder *);
/*
 * Queues a copy of a text from a source, unless it is queued or being decoded
 * already.  When the queue is full, the oldest text is dropped.
 */
void conf_decoder_add(
    struct conf_decoder *, const char *, size_t, const char *);
/* The same for a compressed text. */
void conf_decoder_add_packed(
    struct conf_decoder *, const char *, size_t, const char *);
/* Whether a text is queued or being decoded. */
int conf_decoder_is_busy(const struct conf_decoder *);

#endif
