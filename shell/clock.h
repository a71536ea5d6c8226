/* All clock reads; the decision logic gets the time as an argument. */
#ifndef CLOCK_H
#define CLOCK_H

#include <stdint.h>

/* Monotonic time, ns; includes the time that a VM is suspended. */
uint64_t clock_mono(void);
uint64_t clock_wall(void); /* ns since 1970-01-01 UTC */
/* Incarnation number of a process: grows with each start on a VM. */
uint64_t clock_incarnation(void);

#endif
