/*
 * Sends load and unload orders to model engines over HTTP: models by the
 * model repository protocol, adapters by the LoRA endpoints.
 */
#ifndef ENGINE_H
#define ENGINE_H

#include "cell.h"
#include "fetch.h"

struct engine;

/* The callback receives each result in the fetch thread. */
struct engine *engine_create(struct fetch *,
    void (*)(void *, const struct order_result *, const struct order *),
    void *);
void engine_destroy(struct engine *);
/*
 * Sends the order and frees it.  An order past its send_until is refused
 * without being sent.
 */
void engine_send_order(struct engine *, struct order *);

#endif
