#include <nettle/base64.h>
#include <stdlib.h>
#include <string.h>

#include "base64.h"
#include "mem.h"

char *
base64_encode(const void *bytes, size_t len)
{
	size_t size = BASE64_ENCODE_RAW_LENGTH(len);
	char *out;

	out = mem_alloc(size + 1);
	base64_encode_raw(out, len, bytes);
	return out;
}

char *
base64_decode(const char *text, size_t *len)
{
	struct base64_decode_ctx ctx;
	char *out;

	*len = BASE64_DECODE_LENGTH(strlen(text));
	out = mem_alloc(*len + 1);
	base64_decode_init(&ctx);
	if (base64_decode_update(
		&ctx, len, (uint8_t *)out, strlen(text), text) &&
	    base64_decode_final(&ctx)) {
		out[*len] = '\0';
		return out;
	}
	free(out);
	return NULL;
}
