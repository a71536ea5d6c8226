/*
 * Read-only snapshot of the declared models and services for the threads
 * that serve callers.  The gate loop publishes each new snapshot through
 * RCU, so readers take no lock.
 */
#ifndef CATALOGUE_H
#define CATALOGUE_H

#include "gate.h"

/* Publishes a snapshot of the current tables and frees the previous one. */
void catalogue_publish(const struct gate_core *);
/* Frees the last snapshot; waits for its readers first. */
void catalogue_clear(void);
/*
 * Looks up a model or adapter by its public name; fills in the base model and
 * the adapter ("" for none), each NAME_SIZE bytes.  Returns 0, or -1 when the
 * name is not declared.
 */
int catalogue_find_model(const char *, char *, char *);
/*
 * Finds the service with the longest matching path prefix; fills in its name
 * and whether requests with this method may be retried.  Returns 0, or -1
 * when no prefix matches.
 */
int catalogue_find_service(const char *, const char *, char *, int *);
/* Calls back with the public name and base model of each model and adapter. */
void catalogue_each_model(void (*)(void *, const char *, const char *), void *);

#endif
