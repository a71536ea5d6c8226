/* Blocking HTTP client for command line tools. */
#ifndef HTTP_CALL_H
#define HTTP_CALL_H

#include <jansson.h>
#include <stdint.h>

#include "err.h"

/*
 * Sends a request (method, path, body or NULL, time limit in ms) to "IP:port".
 * Returns the response's status and stores its body, which the caller frees, or
 * returns -1 with err set when there is no response.
 */
int http_call(const char *, const char *, const char *, const char *, uint64_t,
    char **, struct err *);
/* Gets a JSON document; NULL with err set on failure. */
json_t *http_get_json(const char *, const char *, struct err *);

#endif
