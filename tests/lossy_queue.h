/*
 * Network model of the fuzzers: a queue in virtual time that drops, delays,
 * duplicates and reorders its items.
 */
#ifndef LOSSY_QUEUE_H
#define LOSSY_QUEUE_H

#include <cstdint>
#include <cstdlib>
#include <map>
#include <string>
#include <utility>

template <typename T> class LossyQueue
{
      public:
	struct Faults {
		double drop = 0.0;	/* probability */
		double duplicate = 0.0; /* probability */
		uint64_t delay = 0;	/* maximum, nanoseconds */
	};

	Faults faults;

	LossyQueue(uint64_t seed, T (*copy)(T), void (*destroy)(T))
	    : copy_(copy), destroy_(destroy)
	{
		seed_[0] = (unsigned short)seed;
		seed_[1] = (unsigned short)(seed >> 16);
		seed_[2] = 7;
	}

	~LossyQueue()
	{
		for (auto &p : items_)
			destroy_(p.second.second);
	}

	double
	random()
	{
		return erand48(seed_);
	}

	void
	send(uint64_t now, const std::string &to, T item)
	{
		if (random() < faults.duplicate)
			enqueue(now, to, copy_(item));
		if (random() < faults.drop)
			destroy_(item);
		else
			enqueue(now, to, item);
	}

	/* Removes the next item that is due; returns false if none is. */
	bool
	next(uint64_t now, std::string *to, T *item)
	{
		auto it = items_.begin();

		if (it == items_.end() || it->first > now)
			return false;
		*to = it->second.first;
		*item = it->second.second;
		items_.erase(it);
		return true;
	}

      private:
	void
	enqueue(uint64_t now, const std::string &to, T item)
	{
		uint64_t at = now + (uint64_t)(random() * (double)faults.delay);

		items_.emplace(at, std::make_pair(to, item));
	}

	unsigned short seed_[3];
	T (*copy_)(T);
	void (*destroy_)(T);
	std::multimap<uint64_t, std::pair<std::string, T>> items_;
};

#endif
