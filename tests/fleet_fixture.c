#include <stdio.h>
#include <string.h>

#include "fleet_fixture.h"

struct fleet_replica
make_replica(const char *id, const char *model)
{
	struct fleet_replica r;

	memset(&r, 0, sizeof(r));
	snprintf(r.id, sizeof(r.id), "%s", id);
	snprintf(r.service, sizeof(r.service), "llm");
	snprintf(r.addr, sizeof(r.addr), "10.0.0.1:80");
	snprintf(r.zone, sizeof(r.zone), "z1");
	r.slots = 4;
	r.started_ms = 1;
	if (*model != '\0')
		snprintf(r.resident[r.nresident++], NAME_SIZE, "%s", model);
	return r;
}
