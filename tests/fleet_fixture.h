/* Replicas for tests of the directory and of load balancing. */
#ifndef FLEET_FIXTURE_H
#define FLEET_FIXTURE_H

#include "fleet.h"

/*
 * A replica of the service "llm" with an id, four slots and a model, or none
 * if it is "".
 */
struct fleet_replica make_replica(const char *, const char *);

#endif
