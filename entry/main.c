/*
 * spindle-entry: forwards callers' requests to replicas, and orders engines to
 * load models and adapters.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sysexits.h>

#include "admin.h"
#include "cli.h"
#include "clock.h"
#include "conf_decoder.h"
#include "detour_io.h"
#include "detour_server.h"
#include "entry_int.h"
#include "mem.h"
#include "peers.h"
#include "permit_io.h"
#include "poison_io.h"
#include "query.h"
#include "quota_io.h"
#include "session.h"
#include "stream_io.h"
#include "loader_io.h"

#define NAME "spindle-entry"
#define TICK_S 0.02
#define RETRY_WAITING_S 0.006
/* In a large fleet, for processes without duties: reports come every 0.2 s. */
#define TICK_LARGE_S 0.05
#define RETRY_WAITING_LARGE_S 0.03
/* After a pause, input that has arrived is read between two of them. */
#define SETTLE_TICKS_MIN 2
#define CONNECT_NS (400 * NSEC_PER_MSEC)
#define IDLE_NS (20 * NSEC_PER_SEC)
#define IDLE_MAX 6 /* idle connections to one replica */

struct daemon {
	struct entry e;
	const char *settings_path;
	struct listener *listener;
	uint32_t settled; /* ticks that gave requests their last answers */
	ev_timer tick;
	uint64_t tick_at; /* when it is due */
	ev_prepare prepare;
	ev_timer retry_timer;
	ev_signal term;
	ev_signal hup;
};

static int daemon_start(struct daemon *, struct err *);
static void create_parts(struct entry *);
static void daemon_stop(struct daemon *);
static void on_tick(struct ev_loop *, ev_timer *, int);
static void on_prepare(struct ev_loop *, ev_prepare *, int);
static void tick_stop(struct daemon *);
static void retry_waiting(struct daemon *);
static void on_retry_timer(struct ev_loop *, ev_timer *, int);
static void on_term(struct ev_loop *, ev_signal *, int);
static void on_hup(struct ev_loop *, ev_signal *, int);

static void
on_tick(struct ev_loop *loop, ev_timer *w, int events)
{
	struct daemon *d = w->data;
	struct entry *e = &d->e;

	(void)events;
	entry_update_now(e);
	if (d->tick_at != 0)
		metric_observe(&e->times.loop_delay,
		    e->now > d->tick_at ? e->now - d->tick_at : 0);
	replica_notice_tick(e);
	directory_tick(&e->dir, e->now);
	loader_io_tick(e);
	peers_tick(e->peers);
	session_tick(e->session);
	poison_io_tick(e->poison_io);
	permit_io_tick(e->permit_io);
	quota_io_tick(e->quota_io);
	callers_bound_answers(e);
	stream_io_tick(e->stream_io);
	detour_io_tick(e);
	w->repeat = peers_has_duty(e->peers) ? TICK_S : TICK_LARGE_S;
	ev_timer_again(loop, w);
	d->tick_at = e->now + (uint64_t)(w->repeat * NSEC_PER_SEC);
	/* Capacity also becomes free with time, without an event. */
	if (e->waiting.nitems != 0)
		e->retry_waiting = 1;
	if (!e->stopping)
		return;
	tick_stop(d);
}

/* One step of a stop, until nothing is left or its time is over. */
static void
tick_stop(struct daemon *d)
{
	struct entry *e = &d->e;

	forward_stop_waiting(e);
	if (d->listener != NULL && e->now >= e->stop.listen_until) {
		listener_destroy(d->listener);
		d->listener = NULL;
	}
	if (d->listener == NULL)
		callers_close_idle(e);
	if (e->now >= e->stop.settle_at) {
		if (d->settled++ == 0)
			forward_log_stop(e, "time");
		forward_settle(e);
		callers_settle(e);
	}
	if (d->listener == NULL && TAILQ_EMPTY(&e->callers) &&
	    TAILQ_EMPTY(&e->requests) &&
	    detour_server_is_idle(e->detour_server) &&
	    conn_list_is_flushed(&e->flushing)) {
		if (d->settled == 0)
			forward_log_stop(e, "done");
		ev_break(e->loop, EVBREAK_ALL);
	} else if (e->now >= e->stop.end_at && d->settled >= SETTLE_TICKS_MIN) {
		ev_break(e->loop, EVBREAK_ALL);
	}
}

static void
retry_waiting(struct daemon *d)
{
	d->e.retry_waiting = 0;
	entry_update_now(&d->e);
	forward_retry_waiting(&d->e);
	if (ev_is_active(&d->retry_timer) || d->e.waiting.nitems == 0)
		return;
	ev_timer_set(&d->retry_timer,
	    peers_use_relays(d->e.peers) ? RETRY_WAITING_LARGE_S
					 : RETRY_WAITING_S,
	    0.0);
	ev_timer_start(d->e.loop, &d->retry_timer);
}

static void
on_prepare(struct ev_loop *loop, ev_prepare *w, int events)
{
	struct daemon *d = w->data;

	(void)loop;
	(void)events;
	if (d->e.retry_waiting)
		retry_waiting(d);
	loader_io_place_requested(&d->e);
}

/* Queued requests are retried at the pace of engines' prefill. */
static void
on_retry_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	struct daemon *d = w->data;

	(void)loop;
	(void)events;
	d->e.retry_waiting = 1;
}

static void
on_term(struct ev_loop *loop, ev_signal *w, int events)
{
	struct daemon *d = w->data;

	(void)loop;
	(void)events;
	if (d->e.stopping)
		return;
	d->e.stopping = 1;
	stop_begin(
	    &d->e.stop, entry_update_now(&d->e), d->e.boot.stop_grace_ns);
	log_event(LOG_STOPPING, NULL, "vm=%s", d->e.boot.vm);
	loader_io_leave(&d->e);
	peers_leave(d->e.peers);
}

/* Reloads the limits; addresses cannot change while the process runs. */
static void
on_hup(struct ev_loop *loop, ev_signal *w, int events)
{
	struct daemon *d = w->data;
	struct boot boot;
	struct err err;

	(void)loop;
	(void)events;
	if (boot_load(d->settings_path, &boot, &err) == -1) {
		log_event(LOG_SETTINGS_BAD, NULL, "%s", err.text);
		return;
	}
	d->e.boot.stop_grace_ns = boot.stop_grace_ns;
	d->e.boot.drain_delay_ns = boot.drain_delay_ns;
	memcpy(d->e.boot.store, boot.store, sizeof(boot.store));
	log_event(LOG_RELOADED, NULL, "file=%s", d->settings_path);
}

/* The session comes last: its first answers go to the others. */
static void
create_parts(struct entry *e)
{
	e->loader_io = loader_io_create(e);
	e->poison_io = poison_io_create(e);
	e->permit_io = permit_io_create(e);
	e->quota_io = quota_io_create(e);
	e->stream_io = stream_io_create(e);
	e->detour_io = detour_io_create(e);
	e->session = session_create(e);
}

static int
daemon_start(struct daemon *d, struct err *err)
{
	struct conn_pool_config links = { CONNECT_NS, IDLE_NS, IDLE_MAX };
	struct budget_config budget;
	struct entry *e = &d->e;

	e->loop = ev_default_loop(EVFLAG_AUTO);
	TAILQ_INIT(&e->requests);
	waitq_init(&e->waiting);
	TAILQ_INIT(&e->callers);
	TAILQ_INIT(&e->flushing);
	TAILQ_INIT(&e->queries);
	directory_init(&e->dir);
	entry_times_init(&e->times);
	e->nprocesses = 1;
	e->self.incarnation = clock_incarnation();
	e->random_state = e->self.incarnation;
	memcpy(e->self.addr, e->boot.bus, sizeof(e->self.addr));
	entry_update_now(e);
	budget.retry_ratio = e->boot.retry_ratio;
	budget.window_ns = e->boot.retry_window_ns;
	budget.base_retries = e->boot.retry_budget_slack;
	budget_init(&e->budget, &budget);
	e->replicas = conn_pool_create(e->loop, &links);
	e->engines = conn_pool_create(e->loop, &links);
	e->store = conn_pool_create(e->loop, &links);
	e->conf_decoder =
	    conf_decoder_create(e->loop, entry_apply_config, e, err);
	if (e->conf_decoder == NULL)
		return -1;
	e->peers = peers_create(e, err);
	if (e->peers == NULL)
		return -1;
	create_parts(e);
	e->admin = admin_create(e, err);
	if (e->admin == NULL)
		return -1;
	e->detour_server = detour_server_create(e, err);
	if (e->detour_server == NULL)
		return -1;
	d->listener = listener_create(e, err);
	if (d->listener == NULL)
		return -1;
	ev_timer_init(&d->tick, on_tick, TICK_S, TICK_S);
	/* Input that arrived during a delay of the loop goes first. */
	ev_set_priority(&d->tick, EV_MINPRI);
	ev_prepare_init(&d->prepare, on_prepare);
	ev_timer_init(&d->retry_timer, on_retry_timer, RETRY_WAITING_S, 0.0);
	ev_signal_init(&d->term, on_term, SIGTERM);
	ev_signal_init(&d->hup, on_hup, SIGHUP);
	d->tick.data = d;
	d->prepare.data = d;
	d->retry_timer.data = d;
	d->term.data = d;
	d->hup.data = d;
	ev_timer_start(e->loop, &d->tick);
	ev_prepare_start(e->loop, &d->prepare);
	ev_signal_start(e->loop, &d->term);
	ev_signal_start(e->loop, &d->hup);
	return 0;
}

static void
daemon_stop(struct daemon *d)
{
	struct entry *e = &d->e;

	listener_destroy(d->listener);
	forward_stop_all(e);
	waitq_clear(&e->waiting);
	callers_destroy(e);
	conn_list_destroy(&e->flushing);
	detour_server_destroy(e->detour_server);
	admin_destroy(e->admin);
	session_close(e->session);
	queries_cancel(e);
	conf_decoder_destroy(e->conf_decoder);
	loader_io_destroy(e->loader_io);
	poison_io_destroy(e->poison_io);
	permit_io_destroy(e->permit_io);
	quota_io_destroy(e->quota_io);
	stream_io_destroy(e->stream_io);
	detour_io_destroy(e->detour_io);
	session_destroy(e->session);
	peers_destroy(e->peers);
	conn_pool_destroy(e->replicas);
	conn_pool_destroy(e->engines);
	conn_pool_destroy(e->store);
	pace_clear(&e->pace);
	directory_clear(&e->dir);
	fleet_conf_destroy(e->conf);
	free(e->conf_text);
	free(e->conf_packed);
}

int
main(int argc, char **argv)
{
	static struct daemon d;
	struct cli_options cli = { 0 };
	struct err err;

	d.settings_path = getenv(BOOT_ENV);
	if (argc > 1 || d.settings_path == NULL) {
		cli_parse_daemon(
		    argc, argv, NAME, "serves callers on the platform", &cli);
		d.settings_path = cli.settings_path;
	}
	signal(SIGPIPE, SIG_IGN);
	log_open(NAME, clock_incarnation(), LOGLEVEL_INFO);
	if (boot_load(d.settings_path, &d.e.boot, &err) == -1) {
		log_event(LOG_SETTINGS_BAD, NULL, "%s", err.text);
		log_close();
		return EX_CONFIG;
	}
	if (cli.check_only)
		return EX_OK;
	if (daemon_start(&d, &err) == -1) {
		log_event(LOG_LISTEN_FAILED, NULL, "%s", err.text);
		log_close();
		return EX_UNAVAILABLE;
	}
	log_event(LOG_STARTED, NULL, "vm=%s zone=%s listen=%s bus=%s",
	    d.e.boot.vm, d.e.boot.zone, d.e.boot.listen, d.e.boot.bus);
	ev_run(d.e.loop, 0);
	daemon_stop(&d);
	log_event(LOG_STOPPED, NULL, "vm=%s", d.e.boot.vm);
	log_close();
	return EX_OK;
}
