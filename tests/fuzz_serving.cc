/*
 * Stateful fuzzing of gates and schedulers against the invariants checked in
 * serving_world.cc.
 */
#include "serving_world.h"
#include "fuzz_command.h"

namespace
{

struct Traits {
	using Kind = OpKind;

	static const int range = 1000;

	static rc::Gen<Kind>
	kinds()
	{
		return rc::gen::weightedElement<Kind>({ { 12, OP_STREAM },
		    { 4, OP_WHOLE }, { 4, OP_LONG }, { 6, OP_ORDER },
		    { 8, OP_CANCEL }, { 12, OP_PROGRESS }, { 6, OP_BREAK },
		    { 16, OP_ADVANCE }, { 2, OP_TAKEOVER }, { 2, OP_PAUSE },
		    { 2, OP_RESUME }, { 1, OP_KILL_GATE }, { 2, OP_DRAIN },
		    { 2, OP_UNDRAIN }, { 3, OP_FAULTS }, { 1, OP_SLOW },
		    { 4, OP_REFUSE }, { 2, OP_SAY_LEAVING }, { 2, OP_RESTART } });
	}

	static const char *
	name(Kind kind)
	{
		return op_names[kind];
	}
};

} // namespace

int
main()
{
	return fuzz_main<World, Model, Traits>("serving decisions hold under faults");
}
