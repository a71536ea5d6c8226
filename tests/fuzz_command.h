/* A RapidCheck state command for the fuzzers, and their main program. */
#ifndef FUZZ_COMMAND_H
#define FUZZ_COMMAND_H

#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <cstdio>

/*
 * World has apply(kind, a, b) and finish(); Traits defines the kinds, their
 * weights and names, and the range of b.
 */
template <typename World, typename Model, typename Traits>
struct Step : rc::state::Command<Model, World> {
	typename Traits::Kind kind;
	int a;
	int b;

	Step()
	{
		kind = *Traits::kinds();
		a = *rc::gen::inRange(0, 12);
		b = *rc::gen::inRange(0, Traits::range);
	}

	void
	apply(Model &m) const override
	{
		m.steps++;
	}

	void
	run(const Model &, World &w) const override
	{
		w.apply(kind, a, b);
	}

	void
	show(std::ostream &os) const override
	{
		os << Traits::name(kind) << "(" << a << "," << b << ")";
	}
};

/* Checks the property and prints the result; returns the exit status. */
template <typename World, typename Model, typename Traits>
int
fuzz_main(const char *what)
{
	bool ok = rc::check(what, []() {
		Model model;
		uint64_t seed = *rc::gen::inRange<uint64_t>(0, 1000000);
		auto commands = *rc::state::gen::commands(model,
		    rc::state::gen::execOneOfWithArgs<
			Step<World, Model, Traits>>());
		World world(seed);

		rc::state::runAll(commands, model, world);
		world.finish();
	});

	printf("%s\n", ok ? "1 passed, 0 failed" : "0 passed, 1 failed");
	return ok ? 0 : 1;
}

#endif
