/*
 * MessagePack encoding of messages: kind, version, sender address, sender
 * incarnation, sequence number, and then the fields of the kind in order.
 */
#ifndef WIRE_H
#define WIRE_H

#include "err.h"
#include "msg.h"

/* Encodes a message; the caller frees *out.  Valid messages always encode. */
void wire_encode(const struct msg *, char **, size_t *);
/* Decodes len bytes.  Returns NULL with err set if they are malformed. */
struct msg *wire_decode(const char *, size_t, struct err *);

#endif
