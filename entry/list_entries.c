/* What entries of the key-value service's lists mean to this process. */
#include <stdio.h>
#include <string.h>

#include "config.h"
#include "loader_io.h"
#include "peers.h"
#include "replica.h"
#include "session_int.h"

static const char *format_models(const struct fleet_replica *, char *, size_t);
static char *keep_replica(const struct list *, const struct store_item *);
static void put_config(struct list *, const struct list_key *);
static void put_replica(struct list *, const struct list_key *);
static void put_peer(struct list *, const struct list_key *);
static void drop_replica(struct list *, const struct list_key *);
static void drop_peer(struct list *, const struct list_key *);

const struct list_handler list_handlers[LIST__MAX] = {
	[LIST_CONFIG] = { PLATFORM_CONFIG_PREFIX, NULL, put_config, NULL },
	[LIST_REPLICAS] = { PLATFORM_REPLICA_PREFIX, keep_replica, put_replica,
	    drop_replica },
	[LIST_PEERS] = { STORE_KEY_PREFIX PEERS_KEY_PREFIX, NULL, put_peer,
	    drop_peer },
};

static void
put_config(struct list *l, const struct list_key *k)
{
	if (strcmp(k->key, PLATFORM_CONFIG_KEY) == 0)
		entry_receive_config(l->s->e, k->value, k->len, "store");
}

/* Lists the models that a replica has loaded, as far as they fit. */
static const char *
format_models(const struct fleet_replica *r, char *out, size_t size)
{
	size_t len = 0;
	uint32_t i;

	out[0] = '\0';
	for (i = 0; i < r->resident.n && len + NAME_SIZE < size; i++)
		len += (size_t)snprintf(out + len, size - len, "%s%s",
		    i == 0 ? "" : ",", r->resident.names[i]);
	return out;
}

/* Only what is known of a replica: other writers' values may be large. */
static char *
keep_replica(const struct list *l, const struct store_item *item)
{
	const char *id = item->key + strlen(PLATFORM_REPLICA_PREFIX);
	struct fleet_replica r;
	struct log_subject about = { 0 };
	struct err err = { 0 };
	char *text = NULL;

	if (platform_replica_decode(id, item->value, item->len, &r, &err) ==
	    0) {
		text = platform_replica_encode(&r);
		if (text == NULL)
			err_set(&err, ERR_FORMAT,
			    "its names are no valid text or too long, over %d "
			    "bytes; give the replica fewer or shorter ones",
			    PLATFORM_REPLICA_TEXT_MAX);
	}
	loader_io_note_unnamed(l->s->e, &r);
	fleet_replica_clear(&r);
	if (text != NULL)
		return text;
	about.backend = id;
	l->s->e->counts.bad_entries++;
	log_event(LOG_REPLICA_BAD, &about, "revision=%llu bytes=%zu %s",
	    (unsigned long long)revision_number(item->revision), item->len,
	    err.text);
	return NULL;
}

static void
put_replica(struct list *l, const struct list_key *k)
{
	const char *id = k->key + strlen(PLATFORM_REPLICA_PREFIX);
	struct fleet_replica r;
	struct entry *e = l->s->e;
	struct log_subject about = { 0 };
	struct err err;
	char models[160];

	about.backend = id;
	if (platform_replica_decode(id, k->value, k->len, &r, &err) == -1) {
		log_event(LOG_REPLICA_BAD, &about, "%s", err.text);
		fleet_replica_clear(&r);
		return;
	}
	directory_put(&e->dir, &r)->listed_at = e->now;
	log_event(r.state == REPLICA_LEAVING ? LOG_REPLICA_LEAVING
					     : LOG_REPLICA_LISTED,
	    &about, "revision=%llu service=%s addr=%s models=%s left_ms=%llu",
	    (unsigned long long)revision_number(k->revision), r.service, r.addr,
	    format_models(&r, models, sizeof(models)),
	    (unsigned long long)(r.leave_left_ns / NSEC_PER_MSEC));
	fleet_replica_clear(&r);
}

static void
drop_replica(struct list *l, const struct list_key *k)
{
	const char *id = k->key + strlen(PLATFORM_REPLICA_PREFIX);
	struct log_subject about = { 0 };

	about.backend = id;
	log_event(LOG_REPLICA_GONE, &about, "revision=%llu service_up=%d",
	    (unsigned long long)revision_number(k->revision), l->s->up);
	if (l->grace_ns == GRACE_UNKNOWN)
		directory_remove(&l->s->e->dir, l->s->e->now, id);
	else
		directory_remove_reported(
		    &l->s->e->dir, l->s->e->now, id, l->grace_ns);
}

static void
put_peer(struct list *l, const struct list_key *k)
{
	peers_set_listed(l->s->e->peers,
	    k->key + strlen(STORE_KEY_PREFIX PEERS_KEY_PREFIX), k->value);
}

static void
drop_peer(struct list *l, const struct list_key *k)
{
	peers_clear_listed(
	    l->s->e->peers, k->key + strlen(STORE_KEY_PREFIX PEERS_KEY_PREFIX));
}
