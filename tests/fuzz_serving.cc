/*
 * Stateful fuzzing of the serving decisions against the oracle of
 * serving_world.h.
 */
#include "serving_world.h"

namespace
{

struct Step : rc::state::Command<Model, World> {
	OpKind op;
	int a;
	int b;

	Step()
	{
		op = *rc::gen::weightedElement<OpKind>({ { 12, OP_STREAM },
		    { 4, OP_WHOLE }, { 4, OP_LONG }, { 6, OP_ORDER },
		    { 8, OP_CANCEL }, { 12, OP_PROGRESS }, { 6, OP_BREAK },
		    { 16, OP_ADVANCE }, { 2, OP_TAKEOVER }, { 2, OP_PAUSE },
		    { 2, OP_RESUME }, { 1, OP_KILL_GATE }, { 2, OP_DRAIN },
		    { 2, OP_UNDRAIN }, { 3, OP_FAULTS }, { 1, OP_SLOW } });
		a = *rc::gen::inRange(0, 12);
		b = *rc::gen::inRange(0, 1000);
	}

	void
	apply(Model &m) const override
	{
		m.steps++;
	}

	void
	run(const Model &, World &w) const override
	{
		w.apply(op, a, b);
	}

	void
	show(std::ostream &os) const override
	{
		os << op_names[op] << "(" << a << "," << b << ")";
	}
};

} // namespace

int
main()
{
	bool ok = rc::check("serving decisions hold under faults", []() {
		Model model;
		uint64_t seed = *rc::gen::inRange<uint64_t>(0, 1000000);
		auto commands = *rc::state::gen::commands(
		    model, rc::state::gen::execOneOfWithArgs<Step>());
		World world(seed);

		rc::state::runAll(commands, model, world);
		world.finish();
	});

	printf("%s\n", ok ? "1 passed, 0 failed" : "0 passed, 1 failed");
	return ok ? 0 : 1;
}
