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
static int same_region(const char *, const char *);
static void find_cells(struct conf *);
static int cell_allows(
    const struct conf *, const struct conf_model *, const char *);
static int find_homes(const struct conf *, struct conf_model *, struct err *);
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
	uint64_t copy;
	size_t i;

	memset(f->used, 0, f->conf->nbackends + 1);
	for (i = 0; i < m->nhomes; i++) {
		for (copy = 1; copy <= m->copies; copy++) {
			if (fit_copy(f, m, m->homes[i]) == -1)
				return fit_nothing(f, m, copy, e);
		}
	}
	return m->nhomes == 0 ? fit_nothing(f, m, 1, e) : 0;
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

static int
same_region(const char *a, const char *b)
{
	size_t len = region_length(a);

	return len == region_length(b) && strncmp(a, b, len) == 0;
}

/* Lists the distinct cells. */
static void
find_cells(struct conf *c)
{
	const char *cell;
	size_t i;
	size_t k;

	c->cells = mem_alloc((c->nbackends + 1) * sizeof(*c->cells));
	for (i = 0; i < c->nbackends; i++) {
		cell = c->backends[i].cell;
		for (k = 0; k < c->ncells; k++) {
			if (strcmp(c->cells[k], cell) == 0)
				break;
		}
		if (k == c->ncells)
			memcpy(c->cells[c->ncells++], cell, NAME_SIZE);
	}
}

/* Whether the model may use a backend server of the cell. */
static int
cell_allows(const struct conf *c, const struct conf_model *m, const char *cell)
{
	size_t i;

	for (i = 0; i < c->nbackends; i++) {
		if (conf_allows(m, &c->backends[i]) &&
		    strcmp(c->backends[i].cell, cell) == 0)
			return 1;
	}
	return 0;
}

/* The cell of the region with the highest rank keeps the model's copies. */
static int
find_homes(const struct conf *c, struct conf_model *m, struct err *e)
{
	uint64_t ranks[CONF_REGIONS_MAX] = { 0 };
	uint64_t seed = hash_text(m->name);
	uint64_t rank;
	size_t i;
	size_t k;

	for (i = 0; i < c->ncells; i++) {
		rank = hash_version(c->cells[i], seed);
		for (k = 0; k < m->nhomes; k++) {
			if (same_region(m->homes[k], c->cells[i]))
				break;
		}
		if ((k < m->nhomes && rank <= ranks[k]) ||
		    !cell_allows(c, m, c->cells[i]))
			continue;
		if (k == CONF_REGIONS_MAX)
			return err_set(e, ERR_TICKET,
			    "backend cells name more than %d regions; use "
			    "fewer prefixes before the slash",
			    CONF_REGIONS_MAX);
		if (k == m->nhomes)
			m->nhomes++;
		ranks[k] = rank;
		memcpy(m->homes[k], c->cells[i], NAME_SIZE);
	}
	return 0;
}

int
conf_find_homes(struct conf *c, struct err *e)
{
	size_t i;

	find_cells(c);
	for (i = 0; i < c->nmodels; i++) {
		if (find_homes(c, &c->models[i], e) == -1)
			return -1;
	}
	return 0;
}

int
conf_home(const struct conf_model *m, const char *cell)
{
	size_t i;

	for (i = 0; i < m->nhomes; i++) {
		if (strcmp(m->homes[i], cell) == 0)
			return 1;
	}
	return 0;
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
