/*
 * Stateful fuzzing of tickets, membership, cell ownership, memory ledgers,
 * orders and placement, against the oracle of state_world.h.
 */
#include "state_world.h"
#include "fuzz_command.h"

namespace
{

struct Traits {
	using Kind = OpKind;

	static const int range = 4000;

	static rc::Gen<Kind>
	kinds()
	{
		return rc::gen::weightedElement<Kind>({ { 16, OP_ADVANCE },
		    { 8, OP_LONG_ADVANCE }, { 10, OP_TICKET },
		    { 3, OP_OLD_TICKET }, { 3, OP_RACE }, { 3, OP_KILL },
		    { 4, OP_RESTART }, { 2, OP_REPLACE_VM }, { 4, OP_PAUSE },
		    { 4, OP_RESUME }, { 2, OP_KV_DOWN }, { 4, OP_KV_UP },
		    { 4, OP_KV_FAULTS }, { 3, OP_NET_FAULTS },
		    { 4, OP_ENGINE_RESTART }, { 4, OP_ORDER_FAULTS } });
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
	return fuzz_main<World, Model, Traits>("state holds under faults");
}
