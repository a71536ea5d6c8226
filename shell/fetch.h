/*
 * Asynchronous HTTP client: one thread runs all requests with libcurl and
 * reuses connections.  Events are delivered by callback in that thread.  The
 * number of concurrent requests is bounded by the users of this module.
 */
#ifndef FETCH_H
#define FETCH_H

#include <stddef.h>
#include <stdint.h>

struct fetch;

enum fetch_event_type {
	FETCH_EVENT_WRITING, /* connected, about to send the request */
	FETCH_EVENT_HEAD,    /* status and content type are known */
	FETCH_EVENT_DATA,
	FETCH_EVENT_END,
	FETCH_EVENT_FAIL
};

struct fetch_event {
	uint64_t id;
	void *cookie;
	enum fetch_event_type type;
	int connected;	/* FAIL: a connection was established */
	int maybe_sent; /* FAIL: the request may have been sent in part */
	int status;	/* HEAD, END */
	const char *content_type; /* HEAD: "" when absent */
	const char *fields;	  /* HEAD: lines "NAME:VALUE\r\n" */
	const char *bytes;
	size_t len;
	const char *error; /* FAIL: reason */
};

struct fetch_spec {
	uint64_t id; /* unique among requests in progress */
	void *cookie;
	void (*release)(void *); /* frees the cookie, or NULL */
	const char *url;
	const char *method;
	const char *const *headers; /* NULL-terminated, or NULL */
	const char *body;	    /* copied */
	size_t len;
	/*
	 * Uses a new connection, for no other request.  libcurl resends a
	 * request when a reused connection breaks, and takes a late answer to
	 * the request before for its answer.
	 */
	int own_connection;
	uint64_t connect_timeout_ms;
	uint64_t total_timeout_ms; /* 0: no limit */
};

struct fetch *fetch_create(
    void (*)(void *, const struct fetch_event *), void *);
void fetch_destroy(struct fetch *);
void fetch_start(struct fetch *, const struct fetch_spec *);
/* Cancels a request; no event follows once this has taken effect. */
void fetch_cancel(struct fetch *, uint64_t);
/* Fails a request, unless it may have been sent in part already. */
void fetch_withdraw(struct fetch *, uint64_t);

#endif
