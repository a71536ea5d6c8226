/* Standard base64 with padding. */
#ifndef BASE64_H
#define BASE64_H

#include <stddef.h>

/* The caller frees both results. */
char *base64_encode(const void *, size_t);
/* Decoded bytes with a NUL after them; NULL when text is malformed. */
char *base64_decode(const char *, size_t *);

#endif
