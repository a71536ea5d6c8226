/* Base64 with the standard alphabet and padding (RFC 4648). */
#ifndef BASE64_H
#define BASE64_H

#include <stddef.h>

/* Encodes len bytes as a NUL-terminated string; the caller frees it. */
char *base64_encode(const void *, size_t);
/*
 * Decodes text and stores the number of bytes in *len.  Returns the bytes
 * followed by a NUL, to be freed by the caller, or NULL if text is malformed.
 */
char *base64_decode(const char *, size_t *);

#endif
