/* How the fields of a message are visited, shared by wire.c, wire_entry.c. */
#ifndef WIRE_INT_H
#define WIRE_INT_H

#include <msgpack.h>

#include "msg.h"

/* Position in the message being encoded or decoded. */
struct wire_cursor {
	msgpack_packer *packer;	      /* NULL when decoding */
	const msgpack_object *fields; /* decoding only */
	uint32_t nfields;
	uint32_t next;
	int malformed;
};

/* wire.c: each writes a field when encoding, and reads it when decoding. */
void wire_u64(struct wire_cursor *, uint64_t *);
void wire_u32(struct wire_cursor *, uint32_t *);
/* A string in a buffer of a size. */
void wire_str(struct wire_cursor *, char *, size_t);
/* A number below a limit. */
void wire_count(struct wire_cursor *, uint32_t *, uint32_t);
/*
 * The number of items of a list; returns the list, or when decoding a new one
 * for items of a size.
 */
void *wire_list(struct wire_cursor *, uint32_t *, size_t, void *);
/* wire_entry.c */
void wire_front(struct wire_cursor *, struct msg *);
void wire_held(struct wire_cursor *, struct msg *);
void wire_want(struct wire_cursor *, struct msg *);
void wire_loads(struct wire_cursor *, struct msg *);
void wire_permit_request(struct wire_cursor *, struct msg *);
void wire_permit_answer(struct wire_cursor *, struct msg *);
void wire_share_loan(struct wire_cursor *, struct msg *);
void wire_share_ack(struct wire_cursor *, struct msg *);
void wire_quota_request(struct wire_cursor *, struct msg *);
void wire_quota_answer(struct wire_cursor *, struct msg *);

#endif
