/* Commands of the fuzzer of answers, and what the caller may get. */
#include "answers_world.h"

#include <algorithm>
#include <cerrno>

static const char kErrorText[] = "no such stream";
static const char kOtherText[] = "the answer to another request";
static const size_t kInterimMax = 16;

const char *const op_names[OP__MAX] = { "interim", "copy", "behind", "events",
	"repeat", "answer", "cut", "error" };

static void
caller_on_head(void *ctx, const struct http_head *h)
{
	Caller *c = static_cast<Caller *>(ctx);

	c->heads++;
	c->status = h->status;
}

static void
caller_on_body(void *ctx, const char *p, size_t len)
{
	static_cast<Caller *>(ctx)->body.append(p, len);
}

static void
caller_on_end(void *ctx)
{
	static_cast<Caller *>(ctx)->complete = true;
}

static const struct http_reader_ops caller_ops = {
	caller_on_head,
	caller_on_body,
	caller_on_end,
};

World::World(uint64_t seed) : numbers(seed)
{
	entry = answers_entry_create();
	begin_request();
}

World::~World()
{
	answers_entry_destroy(entry);
}

void
World::begin_request()
{
	answers_config c = {};
	std::string head = "GET /x HTTP/1.1\r\nHost: h\r\n";
	size_t n = 1 + numbers.below(10);
	size_t had = 0;
	std::string id = request_id(++request);

	stream = numbers.below(3) != 0;
	plain = make_body(numbers);
	events.clear();
	whole.clear();
	expected.clear();
	if (numbers.below(4) == 0)
		had = numbers.below(n);
	for (size_t i = 0; i < n; i++) {
		events.push_back(make_event(numbers, (unsigned)i + 1));
		whole += events[i];
		if (i >= had)
			expected += events[i];
	}
	if (!stream)
		whole = expected = plain;
	if (had != 0)
		head += "Last-Event-Id: " + std::to_string(had) + "\r\n";
	head += "Arbutusspindle-Attempt-Id: " + id + "\r\n\r\n";
	c.request = head.c_str();
	c.id = id.c_str();
	c.last_event_id = had;
	c.stream = stream;
	c.resumable = numbers.below(4) != 0;
	answers_entry_begin(entry, &c);
	error_sent = false;
	begun = false;
}

void
World::begin_attempt()
{
	if (begun)
		return;
	begun = true;
	answers_entry_start_attempt(entry);
	before.clear();
	behind.clear();
	body.clear();
	wire.clear();
	ninterim = 0;
	disturbed = false;
	filling = false;
	last_may_shorten = false;
	/* Some replicas begin again. */
	next_event =
	    numbers.below(5) == 0 ? 0 : answers_entry_resumed_after(entry);
	RC_ASSERT(next_event <= events.size());
}

void
World::add_events(size_t n)
{
	for (; n != 0 && next_event < events.size(); n--)
		body += events[next_event++];
}

void
World::add_raw(const std::string &text)
{
	if (filling || text.empty())
		return;
	wire += text;
	last_may_shorten = false;
}

/*
 * Adds the first bytes of a message.  Behind an answer that is cut in its
 * counted part nothing follows, as that would be part of it for any reader.
 */
void
World::add_message(const Wire &w, size_t cut, Whose whose, bool error)
{
	bool ours = whose == SAME_ID;
	bool by_close = w.bytes.find("Content-Length") > w.head &&
	    w.bytes.find("Transfer-Encoding") > w.head;

	if (filling || cut == 0)
		return;
	wire.append(w.bytes, 0, cut);
	filling = ours && cut < w.bytes.size() && w.counted[cut];
	last_may_shorten = ours && by_close && cut >= w.head;
	if (last_may_shorten)
		last_body = w.bytes.substr(w.head, cut - w.head);
	error_sent |= ours && error;
}

/* A copy of the answer, or of another; behind odd numbers it is cut. */
void
World::add_copy(int a, int b)
{
	Whose whose = (Whose)(a % WHOSE_COUNT);
	Framing framing = (Framing)(b % FRAMING_COUNT);
	bool error = whose == REFUSAL || whose == OTHER_REFUSAL ||
	    (whose == SAME_ID && b % 7 == 0);
	std::string text = whose == SAME_ID ? whole : kOtherText;
	Wire w = make_answer(numbers, request, error ? 503 : 200, whose,
	    framing, error ? kErrorText : text);
	size_t len = w.bytes.size();

	/* Whole answers to another request are skipped. */
	disturbed |= b % 2 != 0 || framing == BY_CLOSE ||
	    (whose != OTHER_ID && whose != OTHER_REFUSAL);
	add_message(w, b % 2 == 0 ? len : (size_t)b % len, whose, error);
}

/*
 * A body or stream without a length whose connection ends in order where it
 * could also have ended: no reader can tell that from the end.
 */
bool
World::may_have_ended(int error) const
{
	size_t at = 0;

	if (error != 0 || !last_may_shorten)
		return false;
	if (!stream)
		return true;
	while (at < last_body.size()) {
		size_t lf = last_body.find("\n\n", at);
		size_t cr = last_body.find("\r\n\r\n", at);

		if (lf == std::string::npos && cr == std::string::npos)
			return false;
		at = lf < cr ? lf + 2 : cr + 4;
	}
	return true;
}

void
World::deliver(int error, bool keep)
{
	static const size_t sizes[] = { 1, 3, 20, 100000 };
	size_t most = sizes[numbers.below(4)];
	size_t at;
	size_t n;

	for (at = 0; at < wire.size(); at += n) {
		n = 1 + numbers.below(most);
		if (n > wire.size() - at)
			n = wire.size() - at;
		answers_entry_receive(entry, wire.data() + at, n);
	}
	if (!keep || answers_entry_state(entry) == ANSWERS_RUNNING)
		answers_entry_close(entry, error);
}

Caller
World::read_caller() const
{
	Caller c;
	size_t len;
	const char *p = answers_entry_written(entry, &len);
	struct http_reader *r =
	    http_reader_create(HTTP_READ_RESPONSES, &caller_ops, &c);
	size_t used = 0;
	long n = 0;

	while (used < len && !c.complete) {
		n = http_reader_feed(r, p + used, len - used);
		if (n <= 0)
			break;
		used += (size_t)n;
	}
	http_reader_destroy(r);
	RC_ASSERT(used == len);
	RC_ASSERT(c.heads <= 1);
	return c;
}

/* What the caller has is a prefix, and looks complete only if it is whole. */
void
World::end_attempt(int error, bool keep, bool must_complete)
{
	enum answers_state state;
	Caller c;

	deliver(error, keep);
	state = answers_entry_state(entry);
	RC_ASSERT(state != ANSWERS_RUNNING);
	begun = false;
	c = read_caller();
	RC_ASSERT(c.complete == (state == ANSWERS_DONE));
	if (must_complete)
		RC_ASSERT(c.complete && c.status == 200);
	if (c.status == 200) {
		RC_ASSERT(expected.compare(0, c.body.size(), c.body) == 0);
		if (c.complete && !may_have_ended(error))
			RC_ASSERT(c.body == expected);
	} else if (c.heads != 0) {
		RC_ASSERT(error_sent);
		RC_ASSERT(
		    std::string(kErrorText).compare(0, c.body.size(), c.body) ==
		    0);
		if (c.complete && !may_have_ended(error))
			RC_ASSERT(c.body == kErrorText);
	}
	if (state == ANSWERS_RETRY)
		return;
	begin_request();
}

void
World::answer(int a, int b, bool cut)
{
	Framing framing = (Framing)(a % FRAMING_COUNT);
	int error = cut && b % 2 == 0 ? ECONNRESET : 0;
	bool must_complete;
	Wire w;

	if (stream)
		add_events(events.size());
	must_complete = !cut && !disturbed && framing != BY_CLOSE &&
	    ninterim <= kInterimMax;
	w = make_answer(
	    numbers, request, 200, SAME_ID, framing, stream ? body : plain);
	add_message(w, cut ? (size_t)b % w.bytes.size() : w.bytes.size(),
	    SAME_ID, false);
	for (const auto &c : behind)
		add_copy(c.first, c.second);
	end_attempt(error, !cut && b % 3 != 0, must_complete);
}

/* A replica that does not know the stream any more, for one. */
void
World::answer_error(int a, int b)
{
	Wire w = make_answer(numbers, request, a % 2 == 0 ? 404 : 503, SAME_ID,
	    (Framing)(b % FRAMING_COUNT), kErrorText);

	add_message(w, w.bytes.size(), SAME_ID, true);
	end_attempt(0, b % 2 == 0, false);
}

void
World::apply(OpKind op, int a, int b)
{
	begin_attempt();
	switch (op) {
	case OP_INTERIM:
		ninterim++;
		add_raw(make_interim((size_t)a));
		break;
	case OP_COPY:
		add_copy(a, b);
		break;
	case OP_BEHIND:
		behind.emplace_back(a, b);
		break;
	case OP_EVENTS:
		add_events(1 + (size_t)a % 4);
		break;
	case OP_REPEAT:
		for (size_t i = next_event - std::min(next_event, (size_t)a);
		     i < next_event; i++)
			body += events[i];
		break;
	case OP_ANSWER:
		answer(a, b, false);
		break;
	case OP_CUT:
		answer(a, b, true);
		break;
	case OP_ERROR:
		answer_error(a, b);
		break;
	default:
		break;
	}
}

/* Undisturbed, the request is answered. */
void
World::finish()
{
	if (begun)
		answer(BY_CHUNKS, 0, false);
	begin_attempt();
	answer(BY_CHUNKS, 0, false);
}
