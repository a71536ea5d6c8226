/*
 * Units and limits shared by all modules.  Times are nanoseconds on a
 * monotonic clock unless a name says otherwise; deadlines are absolute.
 */
#ifndef BASE_H
#define BASE_H

#include <stddef.h>
#include <stdint.h>

#define NSEC_PER_USEC 1000ULL
#define NSEC_PER_MSEC 1000000ULL
#define NSEC_PER_SEC 1000000000ULL

#define TIME_NEVER UINT64_MAX

/* Buffer sizes in bytes, including the terminating NUL. */
#define NAME_SIZE 64 /* model, adapter, backend server, service, cell */
#define ADDR_SIZE 48 /* "IP:port" */
#define PATH_SIZE 128

/* Maximum number of backend servers in a cell. */
#define CELL_REPLICAS_MAX 32
/* Maximum number of models resident on a backend server. */
#define REPLICA_MODELS_MAX 64

#define nitems(a) (sizeof(a) / sizeof((a)[0]))

/*
 * Identifies a process: its bus address and its incarnation, a number that
 * grows with each restart at that address.
 */
struct node_id {
	char addr[ADDR_SIZE];
	uint64_t incarnation;
};

#endif
