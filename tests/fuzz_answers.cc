/*
 * Stateful fuzzing of the way from replicas' bytes to a caller's bytes, checked
 * in answers_world.cc.
 */
#include "answers_world.h"
#include "fuzz_command.h"

namespace
{

struct Traits {
	using Kind = OpKind;

	static const int range = 1000;

	static rc::Gen<Kind>
	kinds()
	{
		return rc::gen::weightedElement<Kind>(
		    { { 2, OP_INTERIM }, { 3, OP_COPY }, { 4, OP_BEHIND },
			{ 5, OP_EVENTS }, { 4, OP_REPEAT }, { 4, OP_ANSWER },
			{ 6, OP_CUT }, { 1, OP_ERROR } });
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
	    "a caller gets a prefix of the answer, and knows whether all");
}
