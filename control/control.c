/* Command line, settings, start and shutdown of the control process. */
#include <stdio.h>
#include <string.h>
#include <sysexits.h>
#include <time.h>

#include "api.h"
#include "check.h"
#include "cli.h"
#include "clock.h"
#include "control.h"
#include "log.h"
#include "settings.h"
#include "control_loop.h"

#define NAME "spindle-control"
#define LAST_READ_NS (20 * NSEC_PER_SEC) /* a ticket may take that long */
#define LEAVE_GRACE_MSEC 300 /* time for the last messages to be sent */

struct settings {
	char vm[NAME_SIZE];
	char datacentre[NAME_SIZE];
	char listen[ADDR_SIZE];
	char bus[ADDR_SIZE];
	char service[ADDR_SIZE];
	char vm_list[ADDR_SIZE];
	char log_level[16];
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
	    "give the operators' address as \"IP:port\""),
	FIELD(bus, CHECK_ADDR, 1, 1, 0, "give the bus address as \"IP:port\""),
	FIELD(service, CHECK_ADDR, 1, 1, 0,
	    "give the key-value service's address as \"IP:port\""),
	FIELD(vm_list, CHECK_ADDR, 1, 1, 0,
	    "give the address that serves the list of VMs as \"IP:port\""),
	FIELD(log_level, CHECK_NAME, 0, 1, 0,
	    "use error, warning, notice, info or debug"),
};

static int load_settings(const char *, struct settings *, struct err *);
static int run_daemon(const struct settings *, place_policy, struct err *);

static int
load_settings(const char *path, struct settings *s, struct err *e)
{
	memset(s, 0, sizeof(*s));
	snprintf(s->log_level, sizeof(s->log_level), "notice");
	if (settings_load(path, fields, nitems(fields), s, e) == -1)
		return -1;
	return settings_parse_log_level(s->log_level, e) == -1 ? -1 : 0;
}

static int
run_daemon(const struct settings *s, place_policy policy, struct err *e)
{
	struct timespec ts = { 0, LEAVE_GRACE_MSEC * (long)NSEC_PER_MSEC };
	struct control_loop_config sc;
	struct control_loop *loop;
	struct api *api;

	memset(&sc, 0, sizeof(sc));
	node_config_default(&sc.node);
	if (policy != NULL)
		sc.node.cell.policy = policy;
	memcpy(sc.node.self.addr, s->bus, sizeof(sc.node.self.addr));
	sc.node.self.incarnation = clock_incarnation();
	memcpy(sc.service, s->service, sizeof(sc.service));
	memcpy(sc.vm_list, s->vm_list, sizeof(sc.vm_list));
	log_open(NAME, sc.node.self.incarnation,
	    (enum log_level)settings_parse_log_level(s->log_level, e));
	loop = control_loop_create(&sc, e);
	if (loop == NULL)
		return -1;
	api = api_create(s->listen, loop, e);
	if (api == NULL) {
		control_loop_destroy(loop);
		return -1;
	}
	log_event(LOG_STARTED, NULL, "vm=%s listen=%s bus=%s", s->vm, s->listen,
	    s->bus);
	cli_wait_signal();
	log_event(LOG_STOPPING, NULL, "%s", "");
	/* A ticket is decided while the process still takes part. */
	api_drain(api, clock_mono() + LAST_READ_NS);
	control_loop_leave(loop);
	nanosleep(&ts, NULL);
	api_destroy(api);
	control_loop_destroy(loop);
	log_event(LOG_STOPPED, NULL, "%s", "");
	log_close();
	return 0;
}

int
control_main(int argc, char **argv, place_policy policy)
{
	struct cli_options cli;
	struct settings s;
	struct err e;

	cli_parse_daemon(argc, argv, NAME,
	    "manages cells, models and cluster membership", &cli);
	if (load_settings(cli.settings_path, &s, &e) == -1) {
		log_open(NAME, 0, LOGLEVEL_NOTICE);
		log_event(LOG_SETTINGS_BAD, NULL, "%s", e.text);
		log_close();
		return EX_CONFIG;
	}
	if (cli.check_only)
		return EX_OK;
	cli_block_signals();
	if (run_daemon(&s, policy, &e) == -1) {
		log_event(LOG_LISTEN_FAILED, NULL, "%s", e.text);
		log_close();
		return EX_UNAVAILABLE;
	}
	return EX_OK;
}
