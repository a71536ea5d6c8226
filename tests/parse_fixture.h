/* Heads of HTTP messages for tests. */
#ifndef PARSE_FIXTURE_H
#define PARSE_FIXTURE_H

#include "http.h"

/* Parses one message; the head is valid until the next call. */
const struct http_head *parse_head(const char *, enum http_message_kind);

#endif
