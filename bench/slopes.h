/* What the parts of the slope runs share. */
#ifndef SLOPES_H
#define SLOPES_H

#include <jansson.h>

#include "msg.h"

#define REPLICAS 730  /* of the target's size */
#define NODES_MAX 390 /* likewise */

/* Processor time of this process, and memory in use, in MB. */
double process_cpu_s(void);
double process_heap_mb(void);
/* Destroys the messages of a list. */
void destroy_messages(struct msg_list *);
/* A declared system with so many backend servers, 540 models in scale. */
json_t *create_scaled_ticket(uint32_t);
/* slopes_fleet.c */
/* Membership, dissemination and calls with so many nodes. */
void measure_nodes(uint32_t);

#endif
