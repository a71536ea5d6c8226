/* Server-Leaving, Retry-After and Server-Limit in answers of fake-engine. */
#include <pthread.h>
#include <stdio.h>
#include <string.h>

#include "fake_int.h"

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static char retry_lines[NOTICE_LINES_SIZE - 32]; /* of a 503, "": answer */
static int leaving;
static double limit_per_s; /* named in answers, 0: none */
static uint32_t requests;  /* of callers, also those turned away */

static void add_retry_line(const json_t *);

static void
add_retry_line(const json_t *value)
{
	size_t len = strlen(retry_lines);

	if (json_is_string(value))
		snprintf(retry_lines + len, sizeof(retry_lines) - len,
		    "Retry-After: %s\r\n", json_string_value(value));
}

/*
 * "leaving": true; "retry_after": a value, or a list for several fields;
 * "limit": requests a second
 */
void
notice_set(const json_t *doc)
{
	const json_t *retry = json_object_get(doc, "retry_after");
	size_t i;

	pthread_mutex_lock(&lock);
	leaving = json_is_true(json_object_get(doc, "leaving"));
	limit_per_s = json_number_value(json_object_get(doc, "limit"));
	retry_lines[0] = '\0';
	add_retry_line(retry);
	for (i = 0; i < json_array_size(retry); i++)
		add_retry_line(json_array_get(retry, i));
	pthread_mutex_unlock(&lock);
}

void
notice_lines(char (*out)[NOTICE_LINES_SIZE])
{
	char limit[48] = "";

	pthread_mutex_lock(&lock);
	if (limit_per_s != 0.0)
		snprintf(limit, sizeof(limit), "Server-Limit: %.3f\r\n",
		    limit_per_s);
	snprintf(*out, sizeof(*out), "%s%s%s",
	    leaving ? "Server-Leaving: 1\r\n" : "", limit, retry_lines);
	pthread_mutex_unlock(&lock);
}

int
notice_turn_away(struct httpd_request *req)
{
	char lines[NOTICE_LINES_SIZE];
	int away;

	pthread_mutex_lock(&lock);
	requests++;
	away = retry_lines[0] != '\0';
	pthread_mutex_unlock(&lock);
	if (!away)
		return 0;
	notice_lines(&lines);
	httpd_reply_error(req, 503, "busy", "takes no requests now", lines);
	return 1;
}

void
notice_stats(json_t *doc)
{
	pthread_mutex_lock(&lock);
	json_object_set_new(doc, "requests", json_integer(requests));
	pthread_mutex_unlock(&lock);
}
