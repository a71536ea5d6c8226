/* One HTTP request that waits for its whole answer, for command line tools. */
#ifndef CALL_H
#define CALL_H

#include <jansson.h>
#include <stdint.h>

#include "err.h"

/*
 * Sends a request to "IP:port" and returns the answer's status and body,
 * which the caller frees.  Returns -1 with err set when there is no answer.
 */
int http_call(const char *, const char *, const char *, const char *, uint64_t,
    char **, struct err *);
/* GETs a JSON document; NULL with err set when there is none. */
json_t *http_call_json(const char *, const char *, struct err *);

#endif
