/*
 * Stateful fuzzing of client accounts' quotas against the operator's rule for
 * them, checked in quota_world.cc.
 */
#include "quota_world.h"
#include "fuzz_command.h"

namespace
{

struct Traits {
	using Kind = OpKind;

	static const int range = 12000;

	static rc::Gen<Kind>
	kinds()
	{
		return rc::gen::weightedElement<Kind>({ { 14, OP_ADVANCE },
		    { 10, OP_DEMAND }, { 2, OP_LIMIT }, { 3, OP_LOSSES },
		    { 3, OP_CUT }, { 2, OP_CUT_OFF }, { 3, OP_HEAL },
		    { 3, OP_FREEZE }, { 3, OP_RESTART } });
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
	return fuzz_main<QuotaWorld, Model, Traits>("quotas are kept");
}
