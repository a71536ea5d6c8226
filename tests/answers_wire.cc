#include "answers_wire.h"

#include <cstdio>

Numbers::Numbers(uint64_t seed) : state(seed)
{
}

size_t
Numbers::below(size_t n)
{
	state = state * 6364136223846793005ULL + 1442695040888963407ULL;
	return (size_t)(state >> 33) % n;
}

/* Text with parts of status lines and of other answers' framing. */
std::string
make_body(Numbers &numbers)
{
	static const char *const parts[] = { "H", "HTTP/1.1", " 200 OK", "\r\n",
		"\n", "a", "0", "xyz ", "HTTP/1.1 200", "\r\n\r\n", "id: 3",
		"HTTP/1.1 000 X\r\n", " 600 ", "0200" };
	size_t n = numbers.below(12);
	std::string s;

	while (n-- != 0)
		s += parts[numbers.below(sizeof(parts) / sizeof(*parts))];
	return s;
}

std::string
make_event(Numbers &numbers, unsigned id)
{
	static const char *const data[] = { "x", "HTTP/1.1 200 OK", "H",
		"a longer text of an event", "id: 1", "" };
	const char *end = numbers.below(3) == 0 ? "\r\n" : "\n";
	std::string line = "id: " + std::to_string(id) + end;
	std::string text = std::string("data: ") +
	    data[numbers.below(sizeof(data) / sizeof(*data))] + end;

	return (numbers.below(4) == 0 ? text + line : line + text) + end;
}

std::string
request_id(unsigned request)
{
	return "q-" + std::to_string(request);
}

static std::string
make_head(unsigned request, int status, Whose whose)
{
	std::string s = "HTTP/1.1 " + std::to_string(status) + " X\r\n";

	if (whose == SAME_ID || whose == REFUSAL)
		s += "Arbutusspindle-Attempt-Id: " + request_id(request) +
		    "\r\n";
	else if (whose != NO_ID)
		s += "Arbutusspindle-Attempt-Id: " + request_id(request - 1) +
		    "\r\n";
	if (whose == REFUSAL || whose == OTHER_REFUSAL)
		s += "Arbutusspindle-Not-Executed: 1\r\n";
	else if (whose != NO_ID)
		s += "Arbutusspindle-Response-Signature: s\r\n";
	return s;
}

static void
add(Wire &w, const std::string &text, bool counted)
{
	w.bytes += text;
	w.counted.insert(w.counted.end(), text.size(), counted);
}

Wire
make_answer(Numbers &numbers, unsigned request, int status, Whose whose,
    Framing framing, const std::string &body)
{
	std::string head = make_head(request, status, whose);
	Wire w;
	size_t at;
	size_t n;
	char size[20];

	if (framing == BY_LENGTH)
		head +=
		    "Content-Length: " + std::to_string(body.size()) + "\r\n";
	else if (framing == BY_CHUNKS)
		head += "Transfer-Encoding: chunked\r\n";
	if (framing == BY_CLOSE || numbers.below(4) == 0)
		head += "Connection: close\r\n";
	add(w, head + "\r\n", false);
	w.head = w.bytes.size();
	if (framing != BY_CHUNKS) {
		add(w, body, framing == BY_LENGTH);
		return w;
	}
	for (at = 0; at < body.size(); at += n) {
		n = 1 + numbers.below(body.size() - at);
		snprintf(size, sizeof(size), "%zx\r\n", n);
		add(w, size, false);
		add(w, body.substr(at, n), true);
		add(w, "\r\n", false);
	}
	add(w, "0\r\n\r\n", false);
	return w;
}

std::string
make_interim(size_t kind)
{
	static const char *const heads[] = { "HTTP/1.1 100 Continue\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n",
		"HTTP/1.1 102 Processing\r\n"
		"Arbutusspindle-Attempt-Id: q-1\r\n\r\n" };

	return heads[kind % 3];
}
