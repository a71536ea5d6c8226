/* The only readers of clocks; decisions get the time as an argument. */
#ifndef CLOCK_H
#define CLOCK_H

#include <stdint.h>

uint64_t clock_mono(void); /* nanoseconds, never goes back */
uint64_t clock_wall(void); /* nanoseconds since 1970 */
/* An incarnation: larger for each later start on one VM. */
uint64_t clock_incarnation(void);

#endif
