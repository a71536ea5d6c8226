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
		    { 1, OP_STOP_LOSSES }, { 3, OP_UNLIST_ADAPTER },
		    { 2, OP_STOP }, { 5, OP_STOP_HOLDER }, { 2, OP_REPLACE },
		    { 2, OP_DEMAND_ALL }, { 3, OP_CRASH } });
	}

	static const char *
	name(Kind kind)
	{
		return op_names[kind];
	}
};

/* One hand-over of orders, and the time until the next one in ms. */
using HandOver = std::pair<OpKind, int>;

rc::Gen<HandOver>
hand_over()
{
	return rc::gen::pair(rc::gen::weightedElement<OpKind>({ { 8, OP_STOP_HOLDER },
				 { 4, OP_KILL_HOLDER }, { 2, OP_KILL }, { 2, OP_FREEZE },
				 { 1, OP_REVOKE_LEASES }, { 3, OP_REPLACE },
				 { 1, OP_LOSE_ANSWERS } }),
	    rc::gen::resize(100, rc::gen::inRange(100, 1500)));
}

/*
 * Hand-overs in a row, while replicas are replaced and all models are asked
 * for: World checks the rate of loads as each begins.
 */
bool
check_hand_overs()
{
	return rc::check("loads keep to their rate over hand-overs", []() {
		uint64_t seed = *rc::gen::inRange<uint64_t>(0, 1000000);
		auto steps = *rc::gen::container<std::vector<HandOver>>(
		    20, hand_over());
		World world(seed * 2); /* one in which the rate binds */

		world.apply(OP_LONG_ADVANCE, 0, 300);
		world.apply(OP_REPLACE, 0, 0);
		world.apply(OP_DEMAND_ALL, 0, 500);
		for (auto &step : steps) {
			world.apply(OP_DEMAND_ALL, 0, 500);
			world.apply(step.first, step.second, step.second / 2);
			world.apply(OP_ADVANCE, 0, step.second);
		}
	});
}

/* A step on adapters, and the adapter. */
rc::Gen<std::pair<OpKind, int>>
adapter_step()
{
	return rc::gen::pair(rc::gen::weightedElement<OpKind>({ { 20, OP_REQUEST_ADAPTER },
				 { 5, OP_ADVANCE }, { 2, OP_UNLIST_ADAPTER },
				 { 1, OP_KILL_HOLDER }, { 1, OP_LOSE_ANSWERS },
				 { 1, OP_STOP_LOSSES } }),
	    rc::gen::inRange(0, kReplicas * kManyAdapters));
}

/*
 * Replicas with some tens to hundreds of places for adapters, nearly all of
 * them taken: World checks each order.
 */
bool
check_many_places()
{
	return rc::check("orders never exceed many adapter slots", []() {
		uint64_t seed = *rc::gen::inRange<uint64_t>(0, 1000000);
		uint32_t slots = *rc::gen::inRange<uint32_t>(20, 400);
		auto steps = *rc::gen::container<std::vector<
		    std::pair<OpKind, int>>>(80, adapter_step());
		World world(seed, slots);

		world.apply(OP_LONG_ADVANCE, 0, 100);
		for (auto &step : steps) {
			world.apply(step.first, step.second % kReplicas,
			    step.second / kReplicas);
			world.apply(OP_ADVANCE, 0, 30);
		}
	});
}

} // namespace

int
main()
{
	int status = fuzz_main<World, Model, Traits>(
	    "orders never exceed the memory and adapter slots of engines, nor "
	    "the rate of the weight store");

	bool hand_overs = check_hand_overs();

	return check_many_places() && hand_overs ? status : 1;
}
