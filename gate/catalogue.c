#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <urcu-bp.h>
#include <uthash.h>

#include "catalogue.h"
#include "mem.h"

struct catalogue_model {
	char name[NAME_SIZE];
	char base[NAME_SIZE];
	char adapter[NAME_SIZE];
	UT_hash_handle hh;
};

struct catalogue_service {
	char name[NAME_SIZE];
	char prefix[PATH_SIZE];
	uint32_t repeatable;
};

struct catalogue {
	struct catalogue_model *models;
	struct catalogue_service *services;
	size_t nservices;
};

static void add_model(void *, const char *, const char *);
static void add_service(void *, const struct msg_service *);
static void catalogue_free(struct catalogue *);
static void catalogue_replace(struct catalogue *);

static struct catalogue *current; /* RCU-protected */

static void
add_model(void *ctx, const char *model, const char *adapter)
{
	struct catalogue *c = ctx;
	struct catalogue_model *e;
	const char *name = adapter[0] != '\0' ? adapter : model;

	HASH_FIND_STR(c->models, name, e);
	if (e != NULL)
		return;
	e = mem_alloc(sizeof(*e));
	snprintf(e->name, sizeof(e->name), "%s", name);
	snprintf(e->base, sizeof(e->base), "%s", model);
	snprintf(e->adapter, sizeof(e->adapter), "%s", adapter);
	HASH_ADD_STR(c->models, name, e);
}

static void
add_service(void *ctx, const struct msg_service *s)
{
	struct catalogue *c = ctx;
	struct catalogue_service *r;

	c->services = mem_grow(c->services, c->nservices + 1, sizeof(*r));
	r = &c->services[c->nservices++];
	memcpy(r->name, s->name, sizeof(r->name));
	memcpy(r->prefix, s->prefix, sizeof(r->prefix));
	r->repeatable = s->repeatable;
}

static void
catalogue_free(struct catalogue *c)
{
	struct catalogue_model *e, *next;

	if (c == NULL)
		return;
	HASH_ITER (hh, c->models, e, next) {
		HASH_DEL(c->models, e);
		free(e);
	}
	free(c->services);
	free(c);
}

static void
catalogue_replace(struct catalogue *c)
{
	struct catalogue *old;

	old = rcu_xchg_pointer(&current, c);
	synchronize_rcu();
	catalogue_free(old);
}

void
catalogue_publish(const struct gate_core *g)
{
	struct catalogue *c;

	c = mem_alloc(sizeof(*c));
	gate_for_each_model(g, add_model, c);
	gate_for_each_service(g, add_service, c);
	catalogue_replace(c);
}

void
catalogue_clear(void)
{
	catalogue_replace(NULL);
}

int
catalogue_find_model(const char *name, char *base, char *adapter)
{
	const struct catalogue *c;
	struct catalogue_model *e = NULL;

	rcu_read_lock();
	c = rcu_dereference(current);
	if (c != NULL)
		HASH_FIND_STR(c->models, name, e);
	if (e != NULL) {
		memcpy(base, e->base, NAME_SIZE);
		memcpy(adapter, e->adapter, NAME_SIZE);
	}
	rcu_read_unlock();
	return e == NULL ? -1 : 0;
}

int
catalogue_find_service(
    const char *path, const char *method, char *name, int *repeatable)
{
	const struct catalogue *c;
	const struct catalogue_service *r;
	size_t best = 0;
	size_t len;
	size_t i;

	rcu_read_lock();
	c = rcu_dereference(current);
	for (i = 0; c != NULL && i < c->nservices; i++) {
		r = &c->services[i];
		len = strlen(r->prefix);
		if (len <= best || strncmp(path, r->prefix, len) != 0)
			continue;
		best = len;
		memcpy(name, r->name, NAME_SIZE);
		*repeatable = (r->repeatable & msg_method_bit(method)) != 0;
	}
	rcu_read_unlock();
	return best == 0 ? -1 : 0;
}

void
catalogue_each_model(
    void (*report)(void *, const char *, const char *), void *ctx)
{
	const struct catalogue *c;
	struct catalogue_model *e, *next;

	rcu_read_lock();
	c = rcu_dereference(current);
	if (c != NULL) {
		HASH_ITER (hh, c->models, e, next)
			report(ctx, e->name, e->base);
	}
	rcu_read_unlock();
}
