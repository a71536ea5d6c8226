/* The retry table, and the budgets for retries and hedges. */
#include "gate_int.h"

#define BUDGET_MAX 20.0 /* most retries or hedges saved up */

static const enum retry_rule retry_rules[2][PHASE__MAX] = {
	/* must not run twice */
	{
	    [PHASE_CONNECTING] = RETRY_ELSEWHERE,
	    [PHASE_CONNECTED] = RETRY_ELSEWHERE,
	    [PHASE_WRITTEN] = RETRY_UNKNOWN,
	    [PHASE_BEGUN] = RETRY_UNKNOWN,
	},
	/* may run again */
	{
	    [PHASE_CONNECTING] = RETRY_ELSEWHERE,
	    [PHASE_CONNECTED] = RETRY_ELSEWHERE,
	    [PHASE_WRITTEN] = RETRY_ELSEWHERE,
	    [PHASE_BEGUN] = RETRY_RESUME,
	},
};

enum retry_rule
gate_retry_rule(int repeatable, enum fetch_phase phase)
{
	return retry_rules[repeatable != 0][phase];
}

/* Every arrival earns a share of a retry and of a hedge. */
void
gate_budget_earn(struct gate_core *g)
{
	g->retry_tokens += g->config.retry_share;
	if (g->retry_tokens > BUDGET_MAX)
		g->retry_tokens = BUDGET_MAX;
	g->hedge_tokens += g->config.hedge_share;
	if (g->hedge_tokens > BUDGET_MAX)
		g->hedge_tokens = BUDGET_MAX;
}

int
gate_budget_retry(struct gate_core *g)
{
	if (g->retry_tokens < 1.0)
		return 0;
	g->retry_tokens -= 1.0;
	return 1;
}

int
gate_budget_hedge(struct gate_core *g)
{
	if (g->hedge_tokens < 1.0)
		return 0;
	g->hedge_tokens -= 1.0;
	return 1;
}
