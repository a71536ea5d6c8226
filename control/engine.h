/*
 * Orders to model engines, in the form of the model repository protocol for
 * models and of the LoRA endpoints for adapters.
 */
#ifndef ENGINE_H
#define ENGINE_H

#include "cell.h"
#include "fetch.h"

struct engine;

/* The callback gets each result in the fetch thread. */
struct engine *engine_create(struct fetch *,
    void (*)(void *, const struct order_result *, const struct order *),
    void *);
void engine_destroy(struct engine *);
/* Sends the order unless its time is over, and takes it over. */
void engine_send_order(struct engine *, struct order *);

#endif
