#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sysexits.h>

#include "mem.h"

static void mem_fail(void) __attribute__((noreturn));

static void
mem_fail(void)
{
	fputs(
	    "out of memory; raise the memory limit of this process\n", stderr);
	exit(EX_OSERR);
}

void *
mem_alloc(size_t size)
{
	void *p;

	p = calloc(1, size);
	if (p == NULL)
		mem_fail();
	return p;
}

void *
mem_grow(void *old, size_t n, size_t size)
{
	void *p;

	p = reallocarray(old, n, size);
	if (p == NULL)
		mem_fail();
	return p;
}

char *
mem_strdup(const char *s)
{
	char *p;

	p = strdup(s);
	if (p == NULL)
		mem_fail();
	return p;
}
