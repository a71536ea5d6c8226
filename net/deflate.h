/* Compression of texts between processes, in the zlib format. */
#ifndef DEFLATE_H
#define DEFLATE_H

#include <stddef.h>

#include "buf.h"

/* Appends the compressed form of bytes. */
void deflate_pack(struct buf *, const void *, size_t);
/*
 * Appends the bytes that a compressed form stands for; -1, with a part of them
 * appended, if it is malformed, cut short, or stands for more than a number.
 */
int deflate_unpack(struct buf *, const void *, size_t, size_t);

#endif
