/* Retry rules, and the budgets for retries and hedges. */
#include "gate_int.h"

#define BUDGET_CREDIT_MAX 20.0 /* retries or hedges in a burst */

static const enum retry_rule retry_rules[2][PHASE__MAX] = {
	/* not repeatable */
	{
	    [PHASE_CONNECTING] = RETRY_OTHER_TARGET,
	    [PHASE_CONNECTED] = RETRY_OTHER_TARGET,
	    [PHASE_REQUEST_WRITTEN] = RETRY_FORBIDDEN,
	    [PHASE_RESPONSE_STARTED] = RETRY_FORBIDDEN,
	},
	/* repeatable */
	{
	    [PHASE_CONNECTING] = RETRY_OTHER_TARGET,
	    [PHASE_CONNECTED] = RETRY_OTHER_TARGET,
	    [PHASE_REQUEST_WRITTEN] = RETRY_OTHER_TARGET,
	    [PHASE_RESPONSE_STARTED] = RETRY_RESUME,
	},
};

enum retry_rule
gate_retry_rule(int repeatable, enum fetch_phase phase)
{
	return retry_rules[repeatable != 0][phase];
}

/* Adds the budget that one request contributes. */
void
gate_budget_add_request(struct gate_core *g)
{
	g->retry_credit += g->config.retry_ratio;
	if (g->retry_credit > BUDGET_CREDIT_MAX)
		g->retry_credit = BUDGET_CREDIT_MAX;
	g->hedge_credit += g->config.hedge_ratio;
	if (g->hedge_credit > BUDGET_CREDIT_MAX)
		g->hedge_credit = BUDGET_CREDIT_MAX;
}

int
gate_budget_take_retry(struct gate_core *g)
{
	if (g->retry_credit < 1.0)
		return 0;
	g->retry_credit -= 1.0;
	return 1;
}

int
gate_budget_take_hedge(struct gate_core *g)
{
	if (g->hedge_credit < 1.0)
		return 0;
	g->hedge_credit -= 1.0;
	return 1;
}
