/* Shared by the files of spindle-load. */
#ifndef LOAD_H
#define LOAD_H

#include <jansson.h>

#include "base.h"
#include "err.h"

#define LOAD_TARGETS_MAX 64
#define LOAD_MODELS_MAX 256

enum load_kind {
	REQUEST_STREAM,
	REQUEST_COMPLETION,
	REQUEST_ORDER, /* to a plain service, must not run twice */
	REQUEST__MAX
};

enum load_result {
	RESULT_OPEN, /* still open when the run was over */
	RESULT_ANSWERED,
	RESULT_CANCELLED,
	RESULT_NOT_RUN,
	RESULT_UNKNOWN, /* told that the outcome is unknown */
	RESULT_FAILED,	/* told that every attempt broke */
	RESULT_LOST,	/* wrong, incomplete, or no answer at all */
	RESULT__MAX
};

/* One request of the trace, and what became of it. */
struct load_request {
	/* the trace */
	uint64_t arrival; /* after the start */
	enum load_kind kind;
	uint32_t model;
	int is_long;
	uint32_t tokens;
	uint64_t cancel_after; /* 0: not cancelled */
	uint64_t deadline_ms;
	/* the run; times are monotonic */
	uint32_t gate;
	uint32_t target; /* where it was sent */
	uint64_t sent;
	uint64_t first_token;
	uint64_t cancelled;
	uint64_t ended;
	uint32_t attempts;
	int status;
	enum load_result result;
	uint32_t tokens_matched; /* tokens received in order */
	int token_mismatch;	 /* a token was not the expected one */
	int saw_done;
	char *buf;
	size_t len;
	size_t size;
	uint64_t seed; /* of its expected tokens */
};

enum load_policy {
	POLICY_GATES,		 /* through the product */
	POLICY_ROUND_ROBIN,	 /* baseline: each gate alone, in turn */
	POLICY_LEAST_OUTSTANDING /* baseline: least outstanding of each gate */
};

struct load_config {
	uint64_t seed;
	double seconds;
	double rate;  /* requests a second */
	double swing; /* factor on the rate in the middle third */
	double long_share;
	double cancel_share;
	double order_share;
	double whole_share;
	double rotate_s; /* popularity moves on after so long, 0: never */
	double zipf;	 /* exponent of the models' popularity */
	uint32_t short_tokens;
	uint32_t long_tokens;
	uint64_t deadline_ms;
	uint32_t nmodels;
	char models[LOAD_MODELS_MAX][NAME_SIZE];
	char service_path[PATH_SIZE];
	enum load_policy policy;
	uint32_t ngates; /* for the baselines */
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
	uint32_t doubled; /* orders run twice, or run though told not */
	uint32_t in_time; /* answered with the first token before deadline */
	uint32_t wanted;  /* not cancelled by the caller */
	double engine_s;
	double wasted_s; /* on requests after they were cancelled */
	double cancel_p99_ms;
};

/* load_trace.c: the same seed gives the same trace */
struct load_request *load_trace(const struct load_config *, size_t *);
/* load_run.c: fires the trace and waits for the ends */
void load_run(const struct load_config *, struct load_request *, size_t);
json_t *load_get_json(const char *, const char *);
/* load_report.c */
void load_report(const struct load_config *, struct load_request *, size_t,
    struct load_totals *, json_t *);
/* Writes one row a request, as comma-separated values. */
int load_write_csv(const struct load_request *, size_t, const char *);
/* Text of a shot's prompt line. */
void load_format_prompt(const struct load_request *, size_t, char *, size_t);

#endif
