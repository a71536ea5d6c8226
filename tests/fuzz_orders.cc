/* Stateful fuzzing of the loader against the checks of a simulated world. */
#include "orders_world.h"
#include "fuzz_command.h"

namespace
{

struct Traits {
	using Kind = OpKind;

	static const int range = 1000;

	static rc::Gen<Kind>
	kinds()
	{
		return rc::gen::weightedElement<Kind>({ { 14, OP_ADVANCE },
		    { 6, OP_LONG_ADVANCE }, { 8, OP_DEMAND }, { 8, OP_REQUEST_ADAPTER },
		    { 3, OP_LOSE_ANSWERS }, { 3, OP_RESTART }, { 2, OP_KILL },
		    { 2, OP_FREEZE }, { 2, OP_OUTAGE }, { 1, OP_REVOKE_LEASES },
		    { 1, OP_STOP_LOSSES }, { 3, OP_UNLIST_ADAPTER } });
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
	return fuzz_main<World, Model, Traits>(
	    "orders never exceed the memory and adapter slots of engines");
}
