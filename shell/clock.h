/* The only readers of clocks; decisions get the time as an argument. */
#ifndef CLOCK_H
#define CLOCK_H

#include <stdint.h>

/* Nanoseconds; never goes back, and counts the time a VM is suspended. */
uint64_t clock_mono(void);
uint64_t clock_wall(void); /* nanoseconds since 1970 */
/* An incarnation: larger for each later start on one VM. */
uint64_t clock_incarnation(void);

#endif
