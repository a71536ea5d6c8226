/*
 * Feasibility of a configuration: places every declared model's least copies,
 * largest first, each copy on another backend server, on the accelerator
 * with the most memory left.
 */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "conf_int.h"
#include "hash.h"
#include "mem.h"

struct fit {
	const struct conf *conf;
	uint64_t (*left)[CONF_ACCELERATORS_MAX]; /* by backend server, MB */
	char *used; /* by backend server, for the model at hand */
};

static size_t region_length(const char *);
static int compare_size(const void *, const void *);
static int fit_copy(struct fit *, const struct conf_model *, const char *);
static int fit_model(struct fit *, const struct conf_model *, struct err *);
static int fit_all(struct fit *, const struct conf_model **, struct err *);
static int fit_nothing(
    const struct fit *, const struct conf_model *, uint64_t, struct err *);

static int
compare_size(const void *a, const void *b)
{
	const struct conf_model *x = *(const struct conf_model *const *)a;
	const struct conf_model *y = *(const struct conf_model *const *)b;

	return (x->memory_mb < y->memory_mb) - (x->memory_mb > y->memory_mb);
}

static int
fit_copy(struct fit *f, const struct conf_model *m, const char *cell)
{
	const struct conf_backend *b;
	uint64_t *best = NULL;
	size_t best_i = 0;
	size_t i;
	size_t k;

	for (i = 0; i < f->conf->nbackends; i++) {
		b = &f->conf->backends[i];
		if (f->used[i] || !conf_allows(m, b) ||
		    strcmp(b->cell, cell) != 0)
			continue;
		for (k = 0; k < b->naccelerators; k++) {
			if (f->left[i][k] < m->memory_mb)
				continue;
			if (best == NULL || f->left[i][k] > *best) {
				best = &f->left[i][k];
				best_i = i;
			}
		}
	}
	if (best == NULL)
		return -1;
	*best -= m->memory_mb;
	f->used[best_i] = 1;
	return 0;
}

static int
fit_nothing(const struct fit *f, const struct conf_model *m, uint64_t copy,
    struct err *e)
{
	uint64_t most = 0;
	size_t i;
	size_t k;

	for (i = 0; i < f->conf->nbackends; i++) {
		if (!conf_allows(m, &f->conf->backends[i]) || f->used[i])
			continue;
		for (k = 0; k < f->conf->backends[i].naccelerators; k++) {
			if (f->left[i][k] > most)
				most = f->left[i][k];
		}
	}
	return err_set(e, ERR_CAPACITY,
	    "model/%s: copy %" PRIu64 " of %" PRIu64 " takes %" PRIu64
	    " MB, but no accelerator it may use has more than %" PRIu64
	    " MB left; add backend servers, or lower copies or memory",
	    m->name, copy, m->copies, m->memory_mb, most);
}

/* Places the model's least copies in each of its home cells. */
static int
fit_model(struct fit *f, const struct conf_model *m, struct err *e)
{
	const char *cell;
	uint64_t copy;
	size_t i;
	size_t k;
	int homes = 0;

	memset(f->used, 0, f->conf->nbackends + 1);
	for (i = 0; i < f->conf->nbackends; i++) {
		cell = f->conf->backends[i].cell;
		for (k = 0; k < i; k++) {
			if (strcmp(f->conf->backends[k].cell, cell) == 0)
				break;
		}
		if (k < i || !conf_home(f->conf, m, cell))
			continue;
		homes++;
		for (copy = 1; copy <= m->copies; copy++) {
			if (fit_copy(f, m, cell) == -1)
				return fit_nothing(f, m, copy, e);
		}
	}
	return homes == 0 ? fit_nothing(f, m, 1, e) : 0;
}

static int
fit_all(struct fit *f, const struct conf_model **order, struct err *e)
{
	size_t i;

	for (i = 0; i < f->conf->nmodels; i++) {
		if (fit_model(f, order[i], e) == -1)
			return -1;
	}
	return 0;
}

static size_t
region_length(const char *cell)
{
	const char *slash = strchr(cell, '/');

	return slash == NULL ? 0 : (size_t)(slash - cell);
}

int
conf_home(const struct conf *c, const struct conf_model *m, const char *cell)
{
	const struct conf_backend *b;
	const char *best = NULL;
	size_t region = region_length(cell);
	uint64_t best_rank = 0;
	uint64_t rank;
	size_t i;

	for (i = 0; i < c->nbackends; i++) {
		b = &c->backends[i];
		if (region_length(b->cell) != region ||
		    strncmp(b->cell, cell, region) != 0 || !conf_allows(m, b))
			continue;
		rank = hash_version(b->cell, hash_text(m->name));
		if (best == NULL || rank > best_rank) {
			best = b->cell;
			best_rank = rank;
		}
	}
	return best != NULL && strcmp(best, cell) == 0;
}

int
conf_feasible(const struct conf *c, struct err *e)
{
	const struct conf_model **order;
	struct fit f;
	size_t i;
	size_t k;
	int rv;

	f.conf = c;
	f.left = mem_alloc((c->nbackends + 1) * sizeof(*f.left));
	f.used = mem_alloc(c->nbackends + 1);
	order = mem_alloc((c->nmodels + 1) * sizeof(const struct conf_model *));
	for (i = 0; i < c->nbackends; i++) {
		for (k = 0; k < c->backends[i].naccelerators; k++)
			f.left[i][k] = c->backends[i].memory_mb[k] -
			    c->backends[i].adapter_pool_mb;
	}
	for (i = 0; i < c->nmodels; i++)
		order[i] = &c->models[i];
	qsort(order, c->nmodels, sizeof(void *), compare_size);
	rv = fit_all(&f, order, e);
	free(order);
	free(f.used);
	free(f.left);
	return rv;
}
