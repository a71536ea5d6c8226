/* What every unit test program shares: one suite, one result line. */
#ifndef UNIT_H
#define UNIT_H

#include <CUnit/Basic.h>

struct unit_case {
	const char *name;
	void (*run)(void);
};

/* Runs the cases as one suite; returns main()'s status. */
int unit_run(const char *, const struct unit_case *, size_t);

#define UNIT_MAIN(suite, cases)                                                \
	int main(void)                                                         \
	{                                                                      \
		return unit_run(                                               \
		    suite, cases, sizeof(cases) / sizeof((cases)[0]));         \
	}

#endif
