#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "mem.h"
#include "software.h"

struct software_version {
	TAILQ_ENTRY(software_version) entry;
	char service[NAME_SIZE];
	char name[NAME_SIZE];
	uint64_t seen_at;
};

TAILQ_HEAD(version_list, software_version);

/* Sorted by service and name. */
struct software {
	struct version_list versions;
	uint64_t changes;
};

static int compare(const struct software_version *, const char *, const char *);

struct software *
software_create(void)
{
	struct software *s;

	s = mem_alloc(sizeof(*s));
	TAILQ_INIT(&s->versions);
	return s;
}

void
software_destroy(struct software *s)
{
	struct software_version *v;

	if (s == NULL)
		return;
	while ((v = TAILQ_FIRST(&s->versions)) != NULL) {
		TAILQ_REMOVE(&s->versions, v, entry);
		free(v);
	}
	free(s);
}

static int
compare(const struct software_version *v, const char *service, const char *name)
{
	int c = strcmp(v->service, service);

	return c != 0 ? c : strcmp(v->name, name);
}

void
software_see(
    struct software *s, uint64_t now, const char *service, const char *name)
{
	struct software_version *after;
	struct software_version *v;

	TAILQ_FOREACH (after, &s->versions, entry) {
		if (compare(after, service, name) >= 0)
			break;
	}
	if (after != NULL && compare(after, service, name) == 0) {
		after->seen_at = now;
		return;
	}
	s->changes++;
	v = mem_alloc(sizeof(*v));
	snprintf(v->service, sizeof(v->service), "%s", service);
	snprintf(v->name, sizeof(v->name), "%s", name);
	v->seen_at = now;
	if (after == NULL)
		TAILQ_INSERT_TAIL(&s->versions, v, entry);
	else
		TAILQ_INSERT_BEFORE(after, v, entry);
}

void
software_see_listed(struct software *s, uint64_t now, const struct directory *d)
{
	const struct directory_replica *r;

	for (r = d->replicas; r != NULL; r = r->hh.next) {
		if (r->presence != PRESENCE_REMOVED)
			software_see(s, now, r->info.service, r->info.software);
	}
}

void
software_expire(struct software *s, uint64_t now)
{
	struct software_version *v;
	struct software_version *next;

	for (v = TAILQ_FIRST(&s->versions); v != NULL; v = next) {
		next = TAILQ_NEXT(v, entry);
		if (now < v->seen_at + SOFTWARE_KEEP_NS)
			continue;
		s->changes++;
		TAILQ_REMOVE(&s->versions, v, entry);
		free(v);
	}
}

uint64_t
software_changes(const struct software *s)
{
	return s->changes;
}

uint32_t
software_count(const struct software *s, const char *service)
{
	const struct software_version *v;
	uint32_t n = 0;

	TAILQ_FOREACH (v, &s->versions, entry)
		n += strcmp(v->service, service) == 0;
	return n;
}

const char *
software_only(const struct software *s, const char *service)
{
	const struct software_version *v;

	if (software_count(s, service) != 1)
		return NULL;
	TAILQ_FOREACH (v, &s->versions, entry) {
		if (strcmp(v->service, service) == 0)
			break;
	}
	/* A version without a name may be several. */
	return v == NULL || v->name[0] == '\0' ? NULL : v->name;
}

int
software_get(const struct software *s, uint32_t i, const char **service,
    const char **name)
{
	const struct software_version *v;

	TAILQ_FOREACH (v, &s->versions, entry) {
		if (i-- != 0)
			continue;
		*service = v->service;
		*name = v->name;
		return 1;
	}
	return 0;
}

int
software_is_served(const struct directory *d, uint64_t now, const char *service,
    const char *name)
{
	const struct directory_replica *r;

	for (r = d->replicas; r != NULL; r = r->hh.next) {
		if (strcmp(r->info.service, service) == 0 &&
		    (name == NULL || strcmp(r->info.software, name) == 0) &&
		    directory_in_service(r, now))
			return 1;
	}
	return 0;
}
