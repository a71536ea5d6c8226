/* State of detours, shared by detour_io.c and detour_attempt.c. */
#ifndef DETOUR_IO_INT_H
#define DETOUR_IO_INT_H

#include "detour_io.h"
#include "detours.h"

struct detour_io {
	struct entry *e;
	struct reach reach;
	struct detours *peers;
	struct conn_pool *pool; /* connections to peers */
	struct exchange *probe; /* to a replica, NULL: none */
	int probe_connected;
	uint32_t probed;	 /* number of the replica probed last */
	uint64_t peers_at;	 /* when the peers are looked at again */
	uint64_t check_peers_at; /* when silent peers are looked for */
	uint64_t check_at;	 /* when hanging attempts are looked for */
	uint64_t attempts;	 /* passed to peers */
	uint64_t failed_peers;	 /* that were tried in vain */
	uint64_t cuts;		 /* times that no replica was reached */
	uint64_t hanging;	 /* attempts that were given up */
};

#endif
