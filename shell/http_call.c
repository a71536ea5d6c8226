#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "http_call.h"
#include "mem.h"

#define CALL_CONNECT_MSEC 1000L
#define CALL_TOTAL_MSEC 10000

struct body {
	char *text;
	size_t len;
};

static size_t on_body(char *, size_t, size_t, void *);

static size_t
on_body(char *bytes, size_t size, size_t n, void *arg)
{
	struct body *b = arg;
	size_t len = size * n;

	b->text = mem_grow(b->text, b->len + len + 1, 1);
	memcpy(b->text + b->len, bytes, len);
	b->len += len;
	b->text[b->len] = '\0';
	return len;
}

int
http_call(const char *addr, const char *method, const char *path,
    const char *request, uint64_t total_ms, char **response, struct err *e)
{
	struct body b = { mem_strdup(""), 0 };
	CURL *curl;
	CURLcode rv;
	char url[256];
	long status = 0;

	snprintf(url, sizeof(url), "http://%s%s", addr, path);
	curl = curl_easy_init();
	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(curl, CURLOPT_PROXY, "");
	curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, method);
	curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS, CALL_CONNECT_MSEC);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, (long)total_ms);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, &b);
	if (request != NULL)
		curl_easy_setopt(curl, CURLOPT_POSTFIELDS, request);
	rv = curl_easy_perform(curl);
	curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_cleanup(curl);
	if (rv == CURLE_OK) {
		*response = b.text;
		return (int)status;
	}
	free(b.text);
	return err_set(e, ERR_UNAVAILABLE,
	    "%s: %s; check the address and that the process is running", addr,
	    curl_easy_strerror(rv));
}

json_t *
http_get_json(const char *addr, const char *path, struct err *e)
{
	json_t *doc = NULL;
	char *text = NULL;
	int status;

	status = http_call(addr, "GET", path, NULL, CALL_TOTAL_MSEC, &text, e);
	if (status == -1)
		return NULL;
	if (status == 200)
		doc = json_loads(text, 0, NULL);
	free(text);
	if (doc == NULL)
		err_set(e, ERR_UNAVAILABLE,
		    "%s%s: unexpected response, status %d; check the address",
		    addr, path, status);
	return doc;
}
