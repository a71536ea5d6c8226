/* Answers as replicas write them. */
#ifndef ANSWERS_WIRE_H
#define ANSWERS_WIRE_H

#include <cstdint>
#include <string>
#include <vector>

enum Framing {
	BY_LENGTH,
	BY_CHUNKS,
	BY_CLOSE,
	FRAMING_COUNT
};

enum Whose {
	SAME_ID,
	OTHER_ID,
	NO_ID,
	REFUSAL,       /* to the same id */
	OTHER_REFUSAL, /* to another */
	WHOSE_COUNT
};

/* Deterministic numbers for what isn't a command. */
class Numbers
{
      public:
	explicit Numbers(uint64_t seed);
	size_t below(size_t n);

      private:
	uint64_t state;
};

/* One message, and what its bytes are. */
struct Wire {
	std::string bytes;
	size_t head = 0;	   /* length of the head */
	std::vector<bool> counted; /* by byte: inside a counted part */
};

std::string make_body(Numbers &numbers);
std::string make_event(Numbers &numbers, unsigned id);
/* To the request of a number; the one before it is the other. */
Wire make_answer(Numbers &numbers, unsigned request, int status, Whose whose,
    Framing framing, const std::string &body);
std::string request_id(unsigned request);
std::string make_interim(size_t kind);

#endif
