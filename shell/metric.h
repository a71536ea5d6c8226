/*
 * Counters, gauges and latency histograms of a process in Prometheus text
 * format.  Updates are atomic and lock-free.
 */
#ifndef METRIC_H
#define METRIC_H

#include <stdint.h>
#include <stdio.h>

#define METRIC_BUCKETS 24 /* upper bounds: 64 us, doubled for each bucket */

struct metric_histogram {
	const char *name;
	const char *help;
	uint64_t buckets[METRIC_BUCKETS + 1];
	uint64_t count;
	uint64_t sum_ns;
};

void metric_observe(struct metric_histogram *, uint64_t);
void metric_write_histogram(FILE *, const struct metric_histogram *);
/* One metric: name, type ("counter" or "gauge"), help text, value. */
void metric_write(FILE *, const char *, const char *, const char *, uint64_t);
/* CPU seconds and peak resident bytes of this process. */
void metric_write_process(FILE *);

#endif
