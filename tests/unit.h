/* Runner of the unit tests: one suite per program and one result line. */
#ifndef UNIT_H
#define UNIT_H

#include <CUnit/Basic.h>

struct unit_case {
	const char *name;
	void (*run)(void);
};

/* Runs n cases as one suite and prints the result; returns the exit status. */
int unit_run(const char *, const struct unit_case *, size_t);

#define UNIT_MAIN(suite, cases)                                                \
	int main(void)                                                         \
	{                                                                      \
		return unit_run(                                               \
		    suite, cases, sizeof(cases) / sizeof((cases)[0]));         \
	}

#endif
