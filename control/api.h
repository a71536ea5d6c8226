/* HTTP API of the control process, for operators. */
#ifndef API_H
#define API_H

#include "err.h"
#include "control_loop.h"

struct api;

struct api *api_create(const char *, struct control_loop *, struct err *);
/* Answers what operators send until a time, and ends their connections. */
void api_drain(struct api *, uint64_t);
void api_destroy(struct api *);

#endif
