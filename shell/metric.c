#include <inttypes.h>
#include <sys/resource.h>

#include "base.h"
#include "metric.h"

#define FIRST_BUCKET_NS (64 * NSEC_PER_USEC)
#define BYTES_PER_KIB 1024U

void
metric_observe(struct metric_histogram *h, uint64_t ns)
{
	uint64_t bound = FIRST_BUCKET_NS;
	int i;

	for (i = 0; i < METRIC_BUCKETS && ns > bound; i++)
		bound *= 2;
	__atomic_fetch_add(&h->buckets[i], 1, __ATOMIC_RELAXED);
	__atomic_fetch_add(&h->count, 1, __ATOMIC_RELAXED);
	__atomic_fetch_add(&h->sum_ns, ns, __ATOMIC_RELAXED);
}

void
metric_write_histogram(FILE *f, const struct metric_histogram *h)
{
	uint64_t bound = FIRST_BUCKET_NS;
	uint64_t sum = 0;
	int i;

	fprintf(f, "# HELP %s %s\n# TYPE %s histogram\n", h->name, h->help,
	    h->name);
	for (i = 0; i < METRIC_BUCKETS; i++) {
		sum += __atomic_load_n(&h->buckets[i], __ATOMIC_RELAXED);
		fprintf(f, "%s_bucket{le=\"%g\"} %" PRIu64 "\n", h->name,
		    (double)bound / (double)NSEC_PER_SEC, sum);
		bound *= 2;
	}
	fprintf(f,
	    "%s_bucket{le=\"+Inf\"} %" PRIu64 "\n%s_sum %g\n%s_count %" PRIu64
	    "\n",
	    h->name, __atomic_load_n(&h->count, __ATOMIC_RELAXED), h->name,
	    (double)__atomic_load_n(&h->sum_ns, __ATOMIC_RELAXED) /
		(double)NSEC_PER_SEC,
	    h->name, __atomic_load_n(&h->count, __ATOMIC_RELAXED));
}

void
metric_write(FILE *f, const char *name, const char *type, const char *help,
    uint64_t value)
{
	fprintf(f, "# HELP %s %s\n# TYPE %s %s\n%s %" PRIu64 "\n", name, help,
	    name, type, name, value);
}

void
metric_write_process(FILE *f)
{
	struct rusage ru;

	getrusage(RUSAGE_SELF, &ru);
	fprintf(f,
	    "# HELP process_cpu_seconds_total Processor time used.\n"
	    "# TYPE process_cpu_seconds_total counter\n"
	    "process_cpu_seconds_total %.6f\n",
	    (double)(ru.ru_utime.tv_sec + ru.ru_stime.tv_sec) +
		(double)(ru.ru_utime.tv_usec + ru.ru_stime.tv_usec) / 1e6);
	metric_write(f, "process_max_resident_bytes", "gauge",
	    "Largest resident set so far.",
	    (uint64_t)ru.ru_maxrss * BYTES_PER_KIB);
}
