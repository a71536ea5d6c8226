/* spindle-gate: HTTP proxy between callers and backend servers. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sysexits.h>
#include <time.h>

#include "catalogue.h"
#include "check.h"
#include "cli.h"
#include "clock.h"
#include "gate_loop.h"
#include "frontend.h"
#include "log.h"
#include "settings.h"

#define NAME "spindle-gate"
#define DRAIN_POLL_MSEC 20
/* Idle connections end in 5 s; a request that is being read may take longer. */
#define LAST_READ_NS (6 * NSEC_PER_SEC)
/* Orders whose callers have left, if a service does not end them. */
#define LAST_ORDER_NS (60 * NSEC_PER_SEC)

struct settings {
	char vm[NAME_SIZE];
	char datacentre[NAME_SIZE];
	char listen[ADDR_SIZE];
	char bus[ADDR_SIZE];
	char control[ADDR_SIZE];
	char log_level[16];
	uint64_t threads;
	uint64_t body_max_kb;
	uint64_t drain_grace_ms;
};

#define FIELD(name, type, required, min, max, remedy)                          \
	{                                                                      \
#name, type, required, offsetof(struct settings, name),        \
		    sizeof(((struct settings *)0)->name), min, max, remedy     \
	}

static const struct check_field fields[] = {
	FIELD(vm, CHECK_NAME, 1, 1, 0, "name this VM"),
	FIELD(datacentre, CHECK_NAME, 1, 1, 0, "name the VM's data centre"),
	FIELD(listen, CHECK_ADDR, 1, 1, 0,
	    "give the callers' address as \"IP:port\""),
	FIELD(bus, CHECK_ADDR, 1, 1, 0, "give the bus address as \"IP:port\""),
	FIELD(control, CHECK_ADDR, 1, 1, 0,
	    "give the bus address of spindle-control on this VM as "
	    "\"IP:port\""),
	FIELD(log_level, CHECK_NAME, 0, 1, 0,
	    "use error, warning, notice, info or debug"),
	FIELD(threads, CHECK_UINT, 0, 4, 4096,
	    "give 4 to 4096 threads, one for each caller at a time"),
	FIELD(body_max_kb, CHECK_UINT, 0, 1, 65536, "give 1 to 65536 KB"),
	FIELD(drain_grace_ms, CHECK_UINT, 0, 0, 600000,
	    "give 0 to 600000 ms for the load balancer to notice"),
};

static int load_settings(const char *, struct settings *, struct err *);
static int run_daemon(const struct settings *, struct err *);
static void sleep_ms(uint64_t);
static void stop_serving(
    const struct settings *, struct frontend *, struct gate_loop *);

static int
load_settings(const char *path, struct settings *s, struct err *e)
{
	memset(s, 0, sizeof(*s));
	snprintf(s->log_level, sizeof(s->log_level), "notice");
	s->threads = 256;
	s->body_max_kb = 4096;
	s->drain_grace_ms = 2000;
	if (settings_load(path, fields, nitems(fields), s, e) == -1)
		return -1;
	return settings_parse_log_level(s->log_level, e) == -1 ? -1 : 0;
}

static void
sleep_ms(uint64_t ms)
{
	struct timespec ts;

	ts.tv_sec = (time_t)(ms / 1000);
	ts.tv_nsec = (long)(ms % 1000 * NSEC_PER_MSEC);
	nanosleep(&ts, NULL);
}

/* Returns once all callers and the orders of those that left are done with. */
static void
stop_serving(
    const struct settings *s, struct frontend *frontend, struct gate_loop *loop)
{
	struct gate_loop_status st;
	uint64_t cut_at;

	frontend_set_unready(frontend);
	sleep_ms(s->drain_grace_ms);
	frontend_refuse_requests(frontend);
	while (frontend_active_requests(frontend) != 0)
		sleep_ms(DRAIN_POLL_MSEC);
	frontend_drain(frontend, clock_mono() + LAST_READ_NS);
	cut_at = clock_mono() + LAST_ORDER_NS;
	gate_loop_get_status(loop, &st);
	while (st.totals.calls != 0 && clock_mono() < cut_at) {
		sleep_ms(DRAIN_POLL_MSEC);
		gate_loop_get_status(loop, &st);
	}
	log_event(LOG_STOP_ENDED, NULL, "orders=%llu",
	    (unsigned long long)st.totals.calls);
}

static int
run_daemon(const struct settings *s, struct err *e)
{
	struct gate_loop_config dc;
	struct frontend_config fc;
	struct gate_loop *loop;
	struct frontend *frontend;

	memset(&dc, 0, sizeof(dc));
	memcpy(dc.self.addr, s->bus, sizeof(dc.self.addr));
	dc.self.incarnation = clock_incarnation();
	memcpy(dc.vm, s->vm, sizeof(dc.vm));
	memcpy(dc.control, s->control, sizeof(dc.control));
	gate_config_default(&dc.gate);
	log_open(NAME, dc.self.incarnation,
	    (enum log_level)settings_parse_log_level(s->log_level, e));
	loop = gate_loop_create(&dc, e);
	if (loop == NULL)
		return -1;
	memset(&fc, 0, sizeof(fc));
	memcpy(fc.listen, s->listen, sizeof(fc.listen));
	memcpy(fc.bus, s->bus, sizeof(fc.bus));
	fc.threads = (int)s->threads;
	fc.body_max = s->body_max_kb * 1024;
	fc.incarnation = dc.self.incarnation;
	frontend = frontend_create(&fc, loop, e);
	if (frontend == NULL) {
		gate_loop_destroy(loop);
		return -1;
	}
	log_event(LOG_STARTED, NULL, "vm=%s listen=%s bus=%s", s->vm, s->listen,
	    s->bus);
	cli_wait_signal();
	log_event(LOG_STOPPING, NULL, "active=%u",
	    frontend_active_requests(frontend));
	stop_serving(s, frontend, loop);
	frontend_destroy(frontend);
	gate_loop_destroy(loop);
	catalogue_clear();
	log_event(LOG_STOPPED, NULL, "%s", "");
	log_close();
	return 0;
}

int
main(int argc, char **argv)
{
	struct cli_options cli;
	struct settings s;
	struct err e;

	cli_parse_daemon(argc, argv, NAME,
	    "relays callers' requests to backend servers", &cli);
	if (load_settings(cli.settings_path, &s, &e) == -1) {
		log_open(NAME, 0, LOGLEVEL_NOTICE);
		log_event(LOG_SETTINGS_BAD, NULL, "%s", e.text);
		log_close();
		return EX_CONFIG;
	}
	if (cli.check_only)
		return EX_OK;
	cli_block_signals();
	if (run_daemon(&s, &e) == -1) {
		log_event(LOG_LISTEN_FAILED, NULL, "%s", e.text);
		log_close();
		return EX_UNAVAILABLE;
	}
	return EX_OK;
}
