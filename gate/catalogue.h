/*
 * Read-only view of the declared models and services for the callers'
 * threads.  The decider publishes a new one; readers never lock.
 */
#ifndef CATALOGUE_H
#define CATALOGUE_H

#include "gate.h"

/* Publishes what the decider knows now and frees the view before it. */
void catalogue_publish(const struct gate_core *);
/* Frees the last view, when no reader is left. */
void catalogue_clear(void);
/*
 * Finds a model or adapter by the name callers use; fills in the base model
 * and the adapter ("" for none).  Returns 0, or -1 when it is not declared.
 */
int catalogue_find_model(const char *, char *, char *);
/*
 * Finds the service with the longest path prefix; fills in its name and
 * whether the method may be repeated.  Returns -1 when there is none.
 */
int catalogue_find_service(const char *, const char *, char *, int *);
/* Calls back with every name callers may use and its base model. */
void catalogue_each_model(void (*)(void *, const char *, const char *), void *);

#endif
