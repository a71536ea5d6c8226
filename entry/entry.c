/* State shared by all parts of spindle-entry. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "conf_decoder.h"
#include "entry_int.h"
#include "mem.h"
#include "peers.h"
#include "quota_io.h"

void
entry_times_init(struct entry_times *t)
{
	t->wait.name = "spindle_entry_wait_seconds";
	t->wait.help = "Arrival to the last attempt at a replica.";
	t->first_event.name = "spindle_entry_first_event_seconds";
	t->first_event.help = "Arrival to a stream's first event.";
	t->max_gap.name = "spindle_entry_pause_seconds";
	t->max_gap.help = "Longest pause between events of a stream.";
	t->total.name = "spindle_entry_answer_seconds";
	t->total.help = "Arrival to the end of the answer.";
	t->loop_delay.name = "spindle_entry_loop_delay_seconds";
	t->loop_delay.help = "Time by which the event loop's tick came late.";
}

uint64_t
entry_update_now(struct entry *e)
{
	e->now = clock_mono();
	return e->now;
}

/* A linear congruential generator suffices, since it only spreads load. */
double
entry_random(struct entry *e)
{
	e->random_state =
	    e->random_state * 6364136223846793005ULL + 1442695040888963407ULL;
	return (double)(e->random_state >> 11) / 9007199254740992.0;
}

void
entry_receive_config(
    struct entry *e, const char *text, size_t len, const char *source)
{
	if (e->conf_text == NULL || e->conf_len != len ||
	    memcmp(e->conf_text, text, len) != 0)
		conf_decoder_add(e->conf_decoder, text, len, source);
}

void
entry_receive_packed_config(
    struct entry *e, const char *p, size_t len, const char *source)
{
	if (e->conf_packed == NULL || e->conf_packed_len != len ||
	    memcmp(e->conf_packed, p, len) != 0)
		conf_decoder_add_packed(e->conf_decoder, p, len, source);
}

void
entry_apply_config(void *ctx, struct conf_decoded *d)
{
	struct entry *e = ctx;

	entry_update_now(e);
	if (d->conf == NULL) {
		log_event(
		    LOG_CONF_BAD, NULL, "from=%s %s", d->source, d->err.text);
		return;
	}
	if (e->conf != NULL && d->conf->version <= e->conf->version)
		return;
	fleet_conf_destroy(e->conf);
	free(e->conf_text);
	free(e->conf_packed);
	e->conf = d->conf;
	d->conf = NULL;
	e->conf_text = d->text;
	d->text = NULL;
	e->conf_len = d->len;
	e->conf_packed = d->packed;
	d->packed = NULL;
	e->conf_packed_len = d->packed_len;
	e->conf_at = e->now;
	memcpy(e->conf_source, d->source, sizeof(e->conf_source));
	e->retry_waiting = 1;
	http_set_max_head_size(e->conf->limits.max_header_bytes);
	quota_io_config_applied(e->quota_io);
	log_event(LOG_CONF_IN_FORCE, NULL,
	    "version=%llu from=%s routes=%u services=%u accounts=%u bytes=%zu "
	    "packed_bytes=%zu decode_ms=%llu",
	    (unsigned long long)e->conf->version, e->conf_source,
	    e->conf->nroutes, e->conf->nservices, e->conf->naccounts,
	    e->conf_len, e->conf_packed_len,
	    (unsigned long long)(d->decode_ns / NSEC_PER_MSEC));
	peers_push_config(e->peers);
}

int
entry_has_config(const struct entry *e)
{
	return e->conf != NULL || conf_decoder_is_busy(e->conf_decoder);
}

int
entry_is_ready(const struct entry *e)
{
	return !e->stopping && e->conf != NULL && e->dir.synced;
}
