#include <stdint.h>
#include <stdlib.h>
#include <zlib.h>

#include "deflate.h"
#include "mem.h"

#define CHUNK_BYTES 16384

void
deflate_pack(struct buf *out, const void *p, size_t len)
{
	uLongf n = compressBound(len);
	unsigned char *packed = mem_alloc(n);

	/* It fails only without memory or room. */
	if (compress2(packed, &n, p, len, Z_BEST_SPEED) != Z_OK)
		abort();
	buf_add(out, packed, n);
	free(packed);
}

int
deflate_unpack(struct buf *out, const void *p, size_t len, size_t max)
{
	unsigned char chunk[CHUNK_BYTES];
	z_stream z = { 0 };
	size_t total = 0;
	size_t n;
	int result;

	if (inflateInit(&z) != Z_OK)
		abort();
	z.next_in = (Bytef *)(uintptr_t)p;
	z.avail_in = (uInt)len;
	do {
		z.next_out = chunk;
		z.avail_out = sizeof(chunk);
		result = inflate(&z, Z_NO_FLUSH);
		n = sizeof(chunk) - z.avail_out;
		total += n;
		if (total <= max)
			buf_add(out, chunk, n);
	} while (result == Z_OK && total <= max);
	inflateEnd(&z);
	return result == Z_STREAM_END && total <= max ? 0 : -1;
}
