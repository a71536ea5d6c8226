/* Helpers shared by the scaling measurements. */
#ifndef SLOPES_H
#define SLOPES_H

#include <jansson.h>

#include "msg.h"

#define REPLICAS 730  /* at full scale */
#define NODES_MAX 390 /* at full scale */

/* CPU time of this process, in seconds, and heap in use, in MB. */
double process_cpu_s(void);
double process_heap_mb(void);
/* Removes and frees all messages of a list. */
void destroy_messages(struct msg_list *);
/*
 * Creates a ticket with this many backend servers and models in proportion,
 * 540 at full scale.
 */
json_t *create_scaled_ticket(uint32_t);
/* slopes_fleet.c */
/* Measures membership, dissemination and key-value calls of n nodes. */
void measure_nodes(uint32_t);

#endif
