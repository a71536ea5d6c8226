#include <arpa/inet.h>
#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "check.h"

#define PORT_MAX 65535

struct check_ctx {
	const struct check_field *field;
	const char *path;
	enum err_kind kind;
	struct err *err;
};

typedef int (*check_handler)(const json_t *, char *, const struct check_ctx *);

static int check_fail(const struct check_ctx *, const char *);
static int check_uint(const json_t *, char *, const struct check_ctx *);
static int check_real(const json_t *, char *, const struct check_ctx *);
static int check_bool(const json_t *, char *, const struct check_ctx *);
static int check_name(const json_t *, char *, const struct check_ctx *);
static int check_text(const json_t *, char *, const struct check_ctx *);
static int check_address(const json_t *, char *, const struct check_ctx *);
static int check_array(const json_t *, char *, const struct check_ctx *);
static int check_subobject(const json_t *, char *, const struct check_ctx *);
static const struct check_field *check_find_field(
    const struct check_field *, size_t, const char *);

static const check_handler check_handlers[CHECK__MAX] = {
	[CHECK_UINT] = check_uint,
	[CHECK_REAL] = check_real,
	[CHECK_BOOL] = check_bool,
	[CHECK_NAME] = check_name,
	[CHECK_TEXT] = check_text,
	[CHECK_ADDR] = check_address,
	[CHECK_ARRAY] = check_array,
	[CHECK_OBJECT] = check_subobject,
};

static int
check_fail(const struct check_ctx *ctx, const char *what)
{
	return err_set(ctx->err, ctx->kind, "%s.%s: %s; %s", ctx->path,
	    ctx->field->name, what, ctx->field->hint);
}

static int
check_uint(const json_t *value, char *out, const struct check_ctx *ctx)
{
	json_int_t n;
	uint64_t u;

	if (!json_is_integer(value))
		return check_fail(ctx, "is not a whole number");
	n = json_integer_value(value);
	if (n < 0 || (double)n < ctx->field->min || (double)n > ctx->field->max)
		return check_fail(ctx, "is out of range");
	u = (uint64_t)n;
	memcpy(out, &u, sizeof(u));
	return 0;
}

static int
check_real(const json_t *value, char *out, const struct check_ctx *ctx)
{
	double d;

	if (!json_is_number(value))
		return check_fail(ctx, "is not a number");
	d = json_number_value(value);
	if (d < ctx->field->min || d > ctx->field->max)
		return check_fail(ctx, "is out of range");
	memcpy(out, &d, sizeof(d));
	return 0;
}

static int
check_bool(const json_t *value, char *out, const struct check_ctx *ctx)
{
	int flag;

	if (!json_is_boolean(value))
		return check_fail(ctx, "is not true or false");
	flag = json_is_true(value);
	memcpy(out, &flag, sizeof(flag));
	return 0;
}

static int
check_text(const json_t *value, char *out, const struct check_ctx *ctx)
{
	size_t len;

	if (!json_is_string(value))
		return check_fail(ctx, "is not a string");
	len = json_string_length(value);
	if (len != strlen(json_string_value(value)))
		return check_fail(ctx, "contains a NUL byte");
	if ((double)len < ctx->field->min)
		return check_fail(ctx, "is too short");
	if (len >= ctx->field->size)
		return check_fail(ctx, "is too long");
	memcpy(out, json_string_value(value), len + 1);
	return 0;
}

static int
check_name(const json_t *value, char *out, const struct check_ctx *ctx)
{
	const char *p;

	if (!json_is_string(value))
		return check_fail(ctx, "is not a string");
	for (p = json_string_value(value); *p != '\0'; p++) {
		if (!isalnum((unsigned char)*p) && strchr("._-/", *p) == NULL)
			return check_fail(ctx,
			    "contains a character other than letters, digits "
			    "and ._-/");
	}
	return check_text(value, out, ctx);
}

static int
check_address(const json_t *value, char *out, const struct check_ctx *ctx)
{
	char ip[ADDR_SIZE];
	uint16_t port;

	if (!json_is_string(value))
		return check_fail(ctx, "is not a string");
	if (check_parse_addr(json_string_value(value), ip, sizeof(ip), &port) ==
	    -1)
		return check_fail(ctx, "is not an IP number and port");
	return check_text(value, out, ctx);
}

static int
check_array(const json_t *value, char *out, const struct check_ctx *ctx)
{
	if (!json_is_array(value))
		return check_fail(ctx, "is not an array");
	if ((double)json_array_size(value) < ctx->field->min ||
	    (double)json_array_size(value) > ctx->field->max)
		return check_fail(ctx, "has too few or too many items");
	*(const json_t **)(void *)out = value;
	return 0;
}

static int
check_subobject(const json_t *value, char *out, const struct check_ctx *ctx)
{
	if (!json_is_object(value))
		return check_fail(ctx, "is not an object");
	*(const json_t **)(void *)out = value;
	return 0;
}

static const struct check_field *
check_find_field(const struct check_field *fields, size_t n, const char *name)
{
	size_t i;

	for (i = 0; i < n; i++) {
		if (strcmp(fields[i].name, name) == 0)
			return &fields[i];
	}
	return NULL;
}

int
check_object(const json_t *obj, const struct check_field *fields, size_t n,
    void *out, const char *path, enum err_kind kind, struct err *err)
{
	struct check_ctx ctx = { NULL, path, kind, err };
	const char *name;
	json_t *value;
	size_t i;

	if (!json_is_object(obj))
		return err_set(
		    err, kind, "%s: is not an object; write it as {...}", path);
	json_object_foreach ((json_t *)obj, name, value) {
		ctx.field = check_find_field(fields, n, name);
		if (ctx.field == NULL)
			return err_set(err, kind,
			    "%s.%s: unknown member; remove it or correct "
			    "its spelling",
			    path, name);
		if (check_handlers[ctx.field->type](
			value, (char *)out + ctx.field->offset, &ctx) == -1)
			return -1;
	}
	for (i = 0; i < n; i++) {
		if (!fields[i].required ||
		    json_object_get(obj, fields[i].name) != NULL)
			continue;
		ctx.field = &fields[i];
		return check_fail(&ctx, "is missing");
	}
	return 0;
}

int
check_parse_addr(const char *text, char *ip, size_t size, uint16_t *port)
{
	struct in_addr in;
	const char *colon;
	char *end;
	unsigned long n;
	size_t len;

	colon = strrchr(text, ':');
	if (colon == NULL)
		return -1;
	len = (size_t)(colon - text);
	if (len == 0 || len >= size)
		return -1;
	memcpy(ip, text, len);
	ip[len] = '\0';
	if (inet_pton(AF_INET, ip, &in) != 1)
		return -1;
	n = strtoul(colon + 1, &end, 10);
	if (!isdigit((unsigned char)colon[1]) || *end != '\0' || n == 0 ||
	    n > PORT_MAX)
		return -1;
	*port = (uint16_t)n;
	return 0;
}
