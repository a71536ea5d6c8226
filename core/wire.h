/*
 * MessagePack form of a message: an array of kind, version, sender address,
 * sender incarnation, sequence number and the kind's own fields in order.
 */
#ifndef WIRE_H
#define WIRE_H

#include "err.h"
#include "msg.h"

/* Encodes m; the caller frees *out.  Never fails for a valid message. */
void wire_encode(const struct msg *, char **, size_t *);
/* Decodes len bytes; returns NULL and sets err on anything malformed. */
struct msg *wire_decode(const char *, size_t, struct err *);

#endif
