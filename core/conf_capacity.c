/*
 * Checks that a configuration fits in memory: places the minimum number of
 * copies of each model, largest models first, each copy on a different backend
 * server and on the accelerator with the most free memory.  Also assigns the
 * models' home cells.
 */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "conf_int.h"
#include "hash.h"
#include "mem.h"

/* State of a trial placement. */
struct placement {
	const struct conf *conf;
	uint64_t (*free_mb)[CONF_ACCELERATORS_MAX]; /* by backend server */
	char *used; /* by backend server: holds a copy of the current model */
};

static size_t region_length(const char *);
static int same_region(const char *, const char *);
static void collect_cells(struct conf *);
static int cell_may_place(
    const struct conf *, const struct conf_model *, const char *);
static int find_home_cells(
    const struct conf *, struct conf_model *, struct err *);
static int compare_memory(const void *, const void *);
static int place_model_copy(
    struct placement *, const struct conf_model *, const char *);
static int place_model_copies(
    struct placement *, const struct conf_model *, struct err *);
static int place_all_models(
    struct placement *, const struct conf_model **, struct err *);
static int set_capacity_error(const struct placement *,
    const struct conf_model *, uint64_t, struct err *);

static int
compare_memory(const void *a, const void *b)
{
	const struct conf_model *x = *(const struct conf_model *const *)a;
	const struct conf_model *y = *(const struct conf_model *const *)b;

	return (x->memory_mb < y->memory_mb) - (x->memory_mb > y->memory_mb);
}

static int
place_model_copy(
    struct placement *p, const struct conf_model *m, const char *cell)
{
	const struct conf_backend *b;
	uint64_t *best = NULL;
	size_t best_i = 0;
	size_t i;
	size_t k;

	for (i = 0; i < p->conf->nbackends; i++) {
		b = &p->conf->backends[i];
		if (p->used[i] || !conf_may_place(m, b) ||
		    strcmp(b->cell, cell) != 0)
			continue;
		for (k = 0; k < b->naccelerators; k++) {
			if (p->free_mb[i][k] < m->memory_mb)
				continue;
			if (best == NULL || p->free_mb[i][k] > *best) {
				best = &p->free_mb[i][k];
				best_i = i;
			}
		}
	}
	if (best == NULL)
		return -1;
	*best -= m->memory_mb;
	p->used[best_i] = 1;
	return 0;
}

static int
set_capacity_error(const struct placement *p, const struct conf_model *m,
    uint64_t copy, struct err *e)
{
	uint64_t most = 0;
	size_t i;
	size_t k;

	for (i = 0; i < p->conf->nbackends; i++) {
		if (!conf_may_place(m, &p->conf->backends[i]) || p->used[i])
			continue;
		for (k = 0; k < p->conf->backends[i].naccelerators; k++) {
			if (p->free_mb[i][k] > most)
				most = p->free_mb[i][k];
		}
	}
	return err_set(e, ERR_CAPACITY,
	    "model/%s: copy %" PRIu64 " of %" PRIu64 " takes %" PRIu64
	    " MB, but no accelerator it may use has more than %" PRIu64
	    " MB free; add backend servers, or lower copies or memory_mb",
	    m->name, copy, m->copies, m->memory_mb, most);
}

/* Places the model's minimum number of copies in each of its home cells. */
static int
place_model_copies(
    struct placement *p, const struct conf_model *m, struct err *e)
{
	uint64_t copy;
	size_t i;

	memset(p->used, 0, p->conf->nbackends + 1);
	for (i = 0; i < m->nhome_cells; i++) {
		for (copy = 1; copy <= m->copies; copy++) {
			if (place_model_copy(p, m, m->home_cells[i]) == -1)
				return set_capacity_error(p, m, copy, e);
		}
	}
	return m->nhome_cells == 0 ? set_capacity_error(p, m, 1, e) : 0;
}

static int
place_all_models(
    struct placement *p, const struct conf_model **order, struct err *e)
{
	size_t i;

	for (i = 0; i < p->conf->nmodels; i++) {
		if (place_model_copies(p, order[i], e) == -1)
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

/* Sets the list of distinct cells. */
static void
collect_cells(struct conf *c)
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

/* Whether the model may be placed on a backend server of the cell. */
static int
cell_may_place(
    const struct conf *c, const struct conf_model *m, const char *cell)
{
	size_t i;

	for (i = 0; i < c->nbackends; i++) {
		if (conf_may_place(m, &c->backends[i]) &&
		    strcmp(c->backends[i].cell, cell) == 0)
			return 1;
	}
	return 0;
}

/* Rendezvous hashing: the cell with the highest rank in a region is the home.
 */
static int
find_home_cells(const struct conf *c, struct conf_model *m, struct err *e)
{
	uint64_t ranks[CONF_REGIONS_MAX] = { 0 };
	uint64_t seed = hash_text(m->name);
	uint64_t rank;
	size_t i;
	size_t k;

	for (i = 0; i < c->ncells; i++) {
		rank = hash_version(c->cells[i], seed);
		for (k = 0; k < m->nhome_cells; k++) {
			if (same_region(m->home_cells[k], c->cells[i]))
				break;
		}
		if ((k < m->nhome_cells && rank <= ranks[k]) ||
		    !cell_may_place(c, m, c->cells[i]))
			continue;
		if (k == CONF_REGIONS_MAX)
			return err_set(e, ERR_TICKET,
			    "backend cells name more than %d regions; use "
			    "fewer prefixes before the slash",
			    CONF_REGIONS_MAX);
		if (k == m->nhome_cells)
			m->nhome_cells++;
		ranks[k] = rank;
		memcpy(m->home_cells[k], c->cells[i], NAME_SIZE);
	}
	return 0;
}

int
conf_find_home_cells(struct conf *c, struct err *e)
{
	size_t i;

	collect_cells(c);
	for (i = 0; i < c->nmodels; i++) {
		if (find_home_cells(c, &c->models[i], e) == -1)
			return -1;
	}
	return 0;
}

int
conf_is_home_cell(const struct conf_model *m, const char *cell)
{
	size_t i;

	for (i = 0; i < m->nhome_cells; i++) {
		if (strcmp(m->home_cells[i], cell) == 0)
			return 1;
	}
	return 0;
}

int
conf_check_capacity(const struct conf *c, struct err *e)
{
	const struct conf_model **order;
	struct placement p;
	size_t i;
	size_t k;
	int rv;

	p.conf = c;
	p.free_mb = mem_alloc((c->nbackends + 1) * sizeof(*p.free_mb));
	p.used = mem_alloc(c->nbackends + 1);
	order = mem_alloc((c->nmodels + 1) * sizeof(const struct conf_model *));
	for (i = 0; i < c->nbackends; i++) {
		for (k = 0; k < c->backends[i].naccelerators; k++)
			p.free_mb[i][k] = c->backends[i].memory_mb[k] -
			    c->backends[i].adapter_pool_mb;
	}
	for (i = 0; i < c->nmodels; i++)
		order[i] = &c->models[i];
	qsort(order, c->nmodels, sizeof(void *), compare_memory);
	rv = place_all_models(&p, order, e);
	free(order);
	free(p.used);
	free(p.free_mb);
	return rv;
}
