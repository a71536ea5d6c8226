/*
 * Requests one after another, and replicas that answer them with repeats, late
 * copies of answers, and cuts, in fragments of any size; checks what the caller
 * gets.
 */
#ifndef ANSWERS_WORLD_H
#define ANSWERS_WORLD_H

#include <rapidcheck.h>

#include "answers_wire.h"

extern "C" {
#include "answers_entry.h"
#include "http.h"
}

enum OpKind {
	OP_INTERIM,
	OP_COPY,   /* a late answer before the answer */
	OP_BEHIND, /* and behind it */
	OP_EVENTS,
	OP_REPEAT, /* goes back some events */
	OP_ANSWER, /* writes the answer and closes */
	OP_CUT,	   /* breaks off the answer and closes */
	OP_ERROR,  /* answers with an error */
	OP__MAX
};

extern const char *const op_names[OP__MAX];

struct Model {
	int steps = 0;
};

/* What the caller reads. */
struct Caller {
	int status = 0;
	int heads = 0;
	bool complete = false;
	std::string body;
};

class World
{
      public:
	explicit World(uint64_t seed);
	~World();
	void apply(OpKind op, int a, int b);
	void finish();

      private:
	void begin_request();
	void begin_attempt();
	void add_events(size_t n);
	void add_raw(const std::string &text);
	void add_message(const Wire &w, size_t cut, Whose whose, bool error);
	void add_copy(int a, int b);
	void answer(int a, int b, bool cut);
	void answer_error(int a, int b);
	void deliver(int error, bool keep);
	void end_attempt(int error, bool keep, bool must_complete);
	bool may_have_ended(int error) const;
	Caller read_caller() const;

	Numbers numbers;
	answers_entry *entry;
	unsigned request = 0; /* its number */
	bool stream;
	std::string plain;
	std::vector<std::string> events; /* the whole answer, from id 1 */
	std::string whole;		 /* the same as one text */
	std::string expected;		 /* by the caller */
	bool error_sent;
	/* the current attempt */
	bool begun;
	std::string before;
	std::vector<std::pair<int, int>> behind; /* copies */
	std::string body;			 /* events, in its order */
	size_t next_event;			 /* not yet in the body */
	std::string wire;
	size_t ninterim;
	bool disturbed;
	bool filling; /* a counted part of an answer takes in what follows */
	/* the last message that was written */
	bool last_may_shorten; /* cut, and its connection ends it */
	std::string last_body;
};

#endif
