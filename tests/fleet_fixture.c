#include <stdio.h>
#include <string.h>

#include "fleet_fixture.h"

#define REPLICAS_MAX 16

struct fleet_replica
make_replica(const char *id, const char *model)
{
	/* Freed by nobody: the replica is copied, not changed. */
	static struct name_list models[REPLICAS_MAX];
	static uint32_t nmade;
	struct name_list *l = &models[nmade++ % REPLICAS_MAX];
	struct fleet_replica r;

	memset(&r, 0, sizeof(r));
	snprintf(r.id, sizeof(r.id), "%s", id);
	snprintf(r.service, sizeof(r.service), "llm");
	snprintf(r.addr, sizeof(r.addr), "10.0.0.1:80");
	snprintf(r.zone, sizeof(r.zone), "z1");
	r.slots = 4;
	r.started_ms = 1;
	name_list_truncate(l);
	if (*model != '\0')
		name_list_add(l, model);
	r.resident = *l;
	return r;
}
