/*
 * Keeping up with a version that others have: when a process that is behind
 * asks a peer, when it reads the version from the store, and when a relay
 * sends it again.  Answers pushes that are lost, and peers that are behind
 * themselves.  Deterministic; all times in ns.
 */
#ifndef FOLLOW_H
#define FOLLOW_H

#include "base.h"
#include "revision.h"

/* What to do now; bits. */
#define FOLLOW_PULL 1U /* ask the peer at source */
#define FOLLOW_READ 2U /* read the store */

struct follow {
	uint64_t version;	/* of the local copy, 0 for none */
	uint64_t newest;	/* that any peer reported */
	uint64_t newest_at;	/* when it was first reported */
	char source[ADDR_SIZE]; /* peer to ask */
	uint64_t source_at;	/* when it last reported */
	uint64_t pull_at;	/* earliest time of the next pull */
	uint64_t read_at;	/* time of the next read of the store */
	uint64_t read_wait_ns;	/* from that one to the one after */
};

/* A list: revision of its newest entry, digest of all. */
struct follow_list {
	revision_t revision;
	uint64_t digest;
};

/* When the local list was first seen to be behind a peer's, or to differ. */
struct follow_lists {
	revision_t newer; /* revision of the peer's, 0 for none */
	uint64_t newer_since;
	/* 0: it does not differ; new revisions do not end a difference. */
	uint64_t differs_since;
};

/*
 * Whether the local list, the first, has stayed behind a peer's, reported at a
 * time, for longer than a push takes, or has differed from it at the same
 * revision.  The latter counts only if the peer's list decides.
 */
int follow_list_report(struct follow_lists *, uint64_t,
    const struct follow_list *, const struct follow_list *, int);

/*
 * Whether an entry that the local list, the first, lacks was removed, although
 * the store listed it with the first revision as of the second: peers told what
 * is newer.
 */
int follow_list_is_removed(const struct follow_list *, revision_t, revision_t);

/* What peers pull. */
enum follow_text {
	FOLLOW_CONFIG,
	FOLLOW_LIST,
	FOLLOW_TEXT__MAX
};

/* Texts sent in response to pulls, in the current window. */
struct follow_answers {
	uint64_t since;
	uint32_t n[FOLLOW_TEXT__MAX]; /* whole texts */
	uint32_t changes_len;	      /* bytes of changes of the list */
};

/*
 * Whether a pull that arrives at a time is answered; counts it.  Others are
 * dropped, and the peer repeats them.
 */
int follow_answers_pull(struct follow_answers *, uint64_t, enum follow_text);
/* The same for changes of the list, of a length. */
int follow_answers_changes(struct follow_answers *, uint64_t, size_t);
/* Sets the version of the local copy, at a time. */
void follow_set_version(struct follow *, uint64_t, uint64_t);
/* A peer at an address reported a version, at a time. */
void follow_report(struct follow *, uint64_t, uint64_t, const char *);
/* Returns what to do at a time; the caller does it. */
unsigned follow_next(struct follow *, uint64_t);
/* Whether a peer has a newer version than the local copy. */
int follow_is_behind(const struct follow *);
/*
 * The version that was last sent to a peer.  Until the peer has reported it, or
 * it may be lost, nothing newer is sent: a link that is slower than versions
 * come would carry ever older ones.
 */
struct follow_sent {
	uint64_t version;
	uint64_t reported; /* by the peer */
	uint64_t again_at; /* when it may be sent again */
	uint64_t wait_ns;  /* after that time */
};

/* Records that the local copy was sent to a peer, at a time. */
void follow_set_sent(const struct follow *, struct follow_sent *, uint64_t);
/* Records the version that the peer reported. */
void follow_set_reported(struct follow_sent *, uint64_t);
/* Whether a new version may be pushed to a peer, at a time. */
int follow_is_to_push(const struct follow_sent *, uint64_t);
/*
 * Whether the local copy is to be sent to a peer that reported a version, at a
 * time.  One that has none pulls at once.
 */
int follow_is_to_send(
    const struct follow *, const struct follow_sent *, uint64_t, uint64_t);

#endif
