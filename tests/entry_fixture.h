/* A process of spindle-entry for tests, whose loop the test runs. */
#ifndef ENTRY_FIXTURE_H
#define ENTRY_FIXTURE_H

#include "entry_int.h"

/* An address at which nobody listens. */
#define ENTRY_FIXTURE_NOWHERE "127.0.0.1:9"

/* Starts a process by a number, which gives it its name and port. */
void entry_fixture_start(struct entry *, int);
void entry_fixture_stop(struct entry *);
/* Adds what serves callers, with a configuration. */
void entry_fixture_serve(struct entry *, const char *);
void entry_fixture_end_serving(struct entry *);

#endif
