/*
 * Stateful fuzzing of client accounts' quotas against the operator's rule for
 * them, checked in quota_world.cc.
 */
#include "quota_world.h"
#include "fuzz_command.h"

int
main()
{
	return fuzz_main<QuotaWorld, Model, OpTraits<10>>("quotas are kept");
}
