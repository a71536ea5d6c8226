/* Interfaces between the source files of spindle-load. */
#ifndef LOAD_H
#define LOAD_H

#include <jansson.h>

#include "base.h"
#include "err.h"

#define LOAD_TARGETS_MAX 64
#define LOAD_MODELS_MAX 256

enum load_kind {
	REQUEST_STREAM,	    /* chat completion as server-sent events */
	REQUEST_COMPLETION, /* chat completion in one response */
	REQUEST_ORDER,	    /* to a plain service, not idempotent */
	REQUEST__MAX
};

enum load_result {
	RESULT_OPEN, /* no response by the end of the run */
	RESULT_ANSWERED,
	RESULT_CANCELLED,
	RESULT_NOT_RUN,
	RESULT_UNKNOWN, /* reported as unknown */
	RESULT_FAILED,	/* reported as failed in every attempt */
	RESULT_LOST,	/* response wrong, incomplete or missing */
	RESULT__MAX
};

/* One request of the trace and its result. */
struct load_request {
	/* from the trace; times are in ns */
	uint64_t arrival; /* since the start of the run */
	enum load_kind kind;
	uint32_t model;
	int is_long;
	uint32_t tokens;
	uint64_t cancel_after; /* since sent; 0: not cancelled */
	uint64_t deadline_ms;
	/* from the run; times are monotonic, in ns */
	uint32_t gate;
	uint32_t target; /* index of the gate or engine sent to */
	uint64_t sent;
	uint64_t first_token;
	uint64_t cancelled;
	uint64_t ended;
	uint32_t attempts;
	int status;
	enum load_result result;
	uint32_t tokens_matched; /* expected tokens received */
	int token_mismatch;	 /* an unexpected token was received */
	int saw_done;
	char *buf;
	size_t len;
	size_t size;
	uint64_t seed; /* of the expected tokens */
};

enum load_policy {
	POLICY_GATES,		 /* requests go through the gates */
	POLICY_ROUND_ROBIN,	 /* baseline: each gate on its own */
	POLICY_LEAST_OUTSTANDING /* baseline: per gate, fewest open */
};

struct load_config {
	uint64_t seed;
	double seconds;
	double rate;  /* requests per second */
	double swing; /* rate factor in the middle third */
	double long_share;
	double cancel_share;
	double order_share;
	double whole_share;
	double rotate_s; /* period of popularity changes; 0: none */
	double zipf;	 /* exponent of model popularity */
	uint32_t short_tokens;
	uint32_t long_tokens;
	uint64_t deadline_ms;
	uint32_t nmodels;
	char models[LOAD_MODELS_MAX][NAME_SIZE];
	char service_path[PATH_SIZE];
	enum load_policy policy;
	uint32_t ngates; /* simulated by the baselines */
	uint32_t ntargets;
	char targets[LOAD_TARGETS_MAX][ADDR_SIZE];
	uint32_t nengines;
	char engines[LOAD_TARGETS_MAX][ADDR_SIZE];
	uint32_t nservices;
	char services[LOAD_TARGETS_MAX][ADDR_SIZE];
};

struct load_totals {
	uint32_t requests;
	uint32_t ends[RESULT__MAX];
	uint32_t doubled; /* orders run twice, or run but reported as not run */
	uint32_t in_time; /* first token before the deadline */
	uint32_t wanted;  /* not cancelled by the caller */
	double engine_s;
	double wasted_s; /* engine time after the cancellation */
	double cancel_p99_ms;
};

/* load_trace.c: creates the trace; the same seed gives the same trace */
struct load_request *load_trace(const struct load_config *, size_t *);
/* load_run.c: sends the requests of a trace and waits for their results */
void load_run(const struct load_config *, struct load_request *, size_t);
/* Gets a JSON document; NULL unless the status is 200. */
json_t *load_get_json(const char *, const char *);
/* load_report.c: fills the totals and adds all figures to the document */
void load_report(const struct load_config *, struct load_request *, size_t,
    struct load_totals *, json_t *);
/* Writes one row per request as comma-separated values; -1 on failure. */
int load_write_csv(const struct load_request *, size_t, const char *);
/* Formats the prompt of the request with this index. */
void load_format_prompt(const struct load_request *, size_t, char *, size_t);

#endif
