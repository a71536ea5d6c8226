/*
 * Stateful fuzzing of what replicas say of themselves against the rules for it,
 * checked in notice_world.cc.
 */
#include "notice_world.h"
#include "fuzz_command.h"

namespace
{

struct Traits {
	using Kind = OpKind;

	static const int range = 1000;

	static rc::Gen<Kind>
	kinds()
	{
		return rc::gen::weightedElement<Kind>({ { 12, OP_SEND },
		    { 6, OP_BURST }, { 16, OP_ADVANCE }, { 3, OP_LEAVE },
		    { 5, OP_REFUSE }, { 2, OP_RESTART }, { 6, OP_LIST },
		    { 2, OP_UNLIST } });
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
	return fuzz_main<World, Model, Traits>("replicas' notices are heeded");
}
