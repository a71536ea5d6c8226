/*
 * Stateful fuzzing of permits for replicas with a limit against the rule for
 * them, checked in permits_world.cc.
 */
#include "permits_world.h"
#include "fuzz_command.h"

int
main()
{
	return fuzz_main<World, Model, OpTraits<8>>("limits are kept");
}
