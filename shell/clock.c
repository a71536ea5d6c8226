#include <time.h>

#include "base.h"
#include "clock.h"

static uint64_t clock_read(clockid_t);

static uint64_t
clock_read(clockid_t id)
{
	struct timespec ts;

	clock_gettime(id, &ts);
	return (uint64_t)ts.tv_sec * NSEC_PER_SEC + (uint64_t)ts.tv_nsec;
}

uint64_t
clock_mono(void)
{
	return clock_read(CLOCK_BOOTTIME);
}

uint64_t
clock_wall(void)
{
	return clock_read(CLOCK_REALTIME);
}

uint64_t
clock_incarnation(void)
{
	return clock_wall() / NSEC_PER_USEC;
}
