/*
 * Quotas of client accounts among the processes of permits_world.h, in virtual
 * time, with its faults: what all processes together let through is held
 * against the operator's rule for quotas.
 */
#ifndef QUOTA_WORLD_H
#define QUOTA_WORLD_H

#include "permits_world.h"

extern "C" {
#include "quota.h"
}

constexpr int kAccounts = 3;
constexpr uint64_t kQuotaWindow = 8 * NSEC_PER_SEC;
/* Until all processes have applied a configuration. */
constexpr uint64_t kConfigApply = 3 * NSEC_PER_SEC;
constexpr double kOverage = 0.1;
constexpr double kSlack = 11000.0;

/* A caller's request that waits for its tokens. */
struct Asked {
	uint64_t id;
	int account;
	uint64_t tokens;
	uint64_t arrived;
	uint64_t ask_at;
	uint64_t start_at; /* 0: no tokens yet */
	uint64_t asked_at;
	uint32_t tries;
};

struct Started {
	uint64_t at;
	uint64_t tokens;
};

/* A quota that the operator set at a time. */
struct InForce {
	uint64_t at;
	double rate;
	double burst;
};

struct Customer {
	std::deque<Started> started;
	std::deque<InForce> limits;
};

struct QuotaProcess {
	quota *state = nullptr;
	shares *loans = nullptr;
	fleet_account accounts[kAccounts];
	double demand[kAccounts] = {}; /* tokens a second */
	double owed[kAccounts] = {};
	uint64_t versions[kAccounts] = {}; /* of the quotas in force */
	uint64_t last_id = 0;
	std::vector<Asked> waiting;
};

/* A change of a quota that one process has yet to apply. */
struct Told {
	uint64_t at;
	int process;
	int account;
	double rate;
	double burst;
	uint64_t version;
};

struct QuotaWorld : World {
	explicit QuotaWorld(uint64_t seed);
	~QuotaWorld() override;
	void apply(OpKind op, int a, int b) override;
	void finish() override;
	void start(Process &p) override;
	void stop(Process &p) override;
	void tick(Process &p) override;
	void receive(Process &p, const msg *m) override;

	void start_quota(Process &p);
	void set_quota(int account, double rate, double burst, int delay_ms);
	void apply_told(const Process &p);
	void arrive(Process &p, int account);
	void ask(Process &p, Asked &w);
	void answered(Process &p, const quota_answer *a);
	void run(int account, uint64_t tokens);
	double allowed(Customer &c) const;
	double spent(int account, uint64_t since) const;
	void check_shares() const;

	bool ready = false;
	bool some_fail = true; /* one request in eight finds no replica */
	QuotaProcess quotas[kProcesses];
	Customer customers[kAccounts];
	std::vector<Told> told;
	uint64_t nversions = 0;
};

#endif
