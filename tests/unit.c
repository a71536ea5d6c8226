#include <stdio.h>

#include "unit.h"

int
unit_run(const char *name, const struct unit_case *cases, size_t n)
{
	CU_pSuite suite;
	unsigned failed;
	size_t i;

	CU_initialize_registry();
	suite = CU_add_suite(name, NULL, NULL);
	for (i = 0; i < n; i++)
		CU_add_test(suite, cases[i].name, cases[i].run);
	CU_basic_set_mode(CU_BRM_NORMAL);
	CU_basic_run_tests();
	failed = CU_get_number_of_tests_failed();
	printf("result: %u passed, %u failed\n", (unsigned)n - failed, failed);
	CU_cleanup_registry();
	return failed == 0 ? 0 : 1;
}
