/* The parts of spindle-entry that exchange texts with peers, without a loop. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "conf_decoder.h"
#include "detour_io.h"
#include "entry_fixture.h"
#include "loader_io.h"
#include "peers_int.h"
#include "permit_io.h"
#include "quota_io.h"
#include "poison_io.h"
#include "query.h"
#include "session.h"
#include "stream_io.h"
#include "unit.h"

#define WINDOW_NS (10 * NSEC_PER_SEC)

void
entry_fixture_start(struct entry *e, int number)
{
	struct conn_pool_config links = { NSEC_PER_SEC, NSEC_PER_SEC, 1 };
	struct err err;

	memset(e, 0, sizeof(*e));
	e->loop = ev_loop_new(EVFLAG_AUTO);
	TAILQ_INIT(&e->requests);
	TAILQ_INIT(&e->queries);
	directory_init(&e->dir);
	snprintf(e->boot.vm, sizeof(e->boot.vm), "vm-%d", number);
	snprintf(e->self.addr, sizeof(e->self.addr), "127.0.0.1:%d",
	    20000 + (getpid() * 2 + number) % 10000);
	e->self.incarnation = 1;
	snprintf(e->boot.store, sizeof(e->boot.store), ENTRY_FIXTURE_NOWHERE);
	entry_update_now(e);
	e->store = conn_pool_create(e->loop, &links);
	e->conf_decoder =
	    conf_decoder_create(e->loop, entry_apply_config, e, &err);
	e->peers = peers_create(e, &err);
	CU_ASSERT_PTR_NOT_NULL_FATAL(e->conf_decoder);
	CU_ASSERT_PTR_NOT_NULL_FATAL(e->peers);
	e->loader_io = loader_io_create(e);
	e->poison_io = poison_io_create(e);
	e->permit_io = permit_io_create(e);
	e->quota_io = quota_io_create(e);
	e->session = session_create(e);
}

void
entry_fixture_stop(struct entry *e)
{
	session_close(e->session);
	queries_cancel(e);
	conf_decoder_destroy(e->conf_decoder);
	loader_io_destroy(e->loader_io);
	poison_io_destroy(e->poison_io);
	permit_io_destroy(e->permit_io);
	quota_io_destroy(e->quota_io);
	session_destroy(e->session);
	peers_destroy(e->peers);
	conn_pool_destroy(e->store);
	directory_clear(&e->dir);
	ev_loop_destroy(e->loop);
}

void
entry_fixture_serve(struct entry *e, const char *config)
{
	struct conn_pool_config links = { 400 * NSEC_PER_MSEC,
		20 * NSEC_PER_SEC, 6 };
	struct budget_config budget = { 0.2, WINDOW_NS, 50.0 };

	TAILQ_INIT(&e->callers);
	TAILQ_INIT(&e->flushing);
	waitq_init(&e->waiting);
	entry_times_init(&e->times);
	budget_init(&e->budget, &budget);
	e->nprocesses = 1;
	e->replicas = conn_pool_create(e->loop, &links);
	e->engines = conn_pool_create(e->loop, &links);
	e->stream_io = stream_io_create(e);
	e->detour_io = detour_io_create(e);
	e->dir.synced = 1;
	entry_receive_config(e, config, strlen(config), "test");
	while (e->conf == NULL)
		ev_run(e->loop, EVRUN_ONCE);
}

void
entry_fixture_end_serving(struct entry *e)
{
	forward_stop_all(e);
	waitq_clear(&e->waiting);
	callers_destroy(e);
	conn_list_destroy(&e->flushing);
	stream_io_destroy(e->stream_io);
	detour_io_destroy(e->detour_io);
	conn_pool_destroy(e->replicas);
	conn_pool_destroy(e->engines);
	pace_clear(&e->pace);
	fleet_conf_destroy(e->conf);
	free(e->conf_text);
	free(e->conf_packed);
}
