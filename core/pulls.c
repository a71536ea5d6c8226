#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "pulls.h"

void
pulls_add(struct pulls *p, const char *addr)
{
	uint32_t i;

	for (i = 0; i < p->n; i++) {
		if (strcmp(p->addrs[i], addr) == 0)
			return;
	}
	if (p->n == p->size) {
		p->size = p->size == 0 ? 16 : p->size * 2;
		p->addrs = mem_grow(p->addrs, p->size, sizeof(*p->addrs));
	}
	snprintf(p->addrs[p->n++], ADDR_SIZE, "%s", addr);
}

int
pulls_next(struct pulls *p, struct follow_answers *a, uint64_t now,
    char addr[ADDR_SIZE])
{
	if (p->n == 0 || !follow_answers_pull(a, now, FOLLOW_CONFIG))
		return 0;
	memcpy(addr, p->addrs[0], ADDR_SIZE);
	p->n--;
	memmove(p->addrs, p->addrs + 1, p->n * sizeof(*p->addrs));
	return 1;
}

void
pulls_clear(struct pulls *p)
{
	free(p->addrs);
	memset(p, 0, sizeof(*p));
}
