#include <pthread.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include "mem.h"
#include "watch.h"

#define WATCH_BATCH 64
#define WATCH_STOP_EVENT_ID 0 /* request ids are never zero */

struct watch {
	int epoll;
	int stop_fd;
	pthread_t thread;
	void (*on_hangup)(void *, uint64_t);
	void *ctx;
};

static void *watch_run(void *);

struct watch *
watch_create(void (*on_hangup)(void *, uint64_t), void *ctx)
{
	struct epoll_event ev;
	struct watch *w;

	w = mem_alloc(sizeof(*w));
	w->on_hangup = on_hangup;
	w->ctx = ctx;
	w->epoll = epoll_create1(EPOLL_CLOEXEC);
	w->stop_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	ev.events = EPOLLIN;
	ev.data.u64 = WATCH_STOP_EVENT_ID;
	epoll_ctl(w->epoll, EPOLL_CTL_ADD, w->stop_fd, &ev);
	pthread_create(&w->thread, NULL, watch_run, w);
	return w;
}

void
watch_destroy(struct watch *w)
{
	if (w == NULL)
		return;
	eventfd_write(w->stop_fd, 1);
	pthread_join(w->thread, NULL);
	close(w->stop_fd);
	close(w->epoll);
	free(w);
}

int
watch_add(struct watch *w, int fd, uint64_t id)
{
	struct epoll_event ev;

	ev.events = EPOLLRDHUP | EPOLLONESHOT;
	ev.data.u64 = id;
	return epoll_ctl(w->epoll, EPOLL_CTL_ADD, fd, &ev);
}

void
watch_remove(struct watch *w, int fd)
{
	epoll_ctl(w->epoll, EPOLL_CTL_DEL, fd, NULL);
}

static void *
watch_run(void *arg)
{
	struct epoll_event evs[WATCH_BATCH];
	struct watch *w = arg;
	int n;
	int i;

	for (;;) {
		n = epoll_wait(w->epoll, evs, WATCH_BATCH, -1);
		for (i = 0; i < n; i++) {
			if (evs[i].data.u64 == WATCH_STOP_EVENT_ID)
				return NULL;
			w->on_hangup(w->ctx, evs[i].data.u64);
		}
	}
}
