#include <arpa/inet.h>
#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "check.h"

#define PORT_MAX 65535

struct check_site {
	const struct check_field *field;
	const char *path;
	enum err_kind kind;
	struct err *err;
};

typedef int (*check_store)(const json_t *, char *, const struct check_site *);

static int check_fail(const struct check_site *, const char *);
static int check_uint(const json_t *, char *, const struct check_site *);
static int check_real(const json_t *, char *, const struct check_site *);
static int check_bool(const json_t *, char *, const struct check_site *);
static int check_name(const json_t *, char *, const struct check_site *);
static int check_text(const json_t *, char *, const struct check_site *);
static int check_address(const json_t *, char *, const struct check_site *);
static int check_array(const json_t *, char *, const struct check_site *);
static int check_child(const json_t *, char *, const struct check_site *);
static const struct check_field *check_find(
    const struct check_field *, size_t, const char *);

static const check_store check_stores[CHECK__MAX] = {
	[CHECK_UINT] = check_uint,
	[CHECK_REAL] = check_real,
	[CHECK_BOOL] = check_bool,
	[CHECK_NAME] = check_name,
	[CHECK_TEXT] = check_text,
	[CHECK_ADDR] = check_address,
	[CHECK_ARRAY] = check_array,
	[CHECK_OBJECT] = check_child,
};

static int
check_fail(const struct check_site *site, const char *what)
{
	return err_set(site->err, site->kind, "%s.%s: %s; %s", site->path,
	    site->field->name, what, site->field->remedy);
}

static int
check_uint(const json_t *value, char *out, const struct check_site *site)
{
	json_int_t n;
	uint64_t u;

	if (!json_is_integer(value))
		return check_fail(site, "is not a whole number");
	n = json_integer_value(value);
	if (n < 0 || (double)n < site->field->min ||
	    (double)n > site->field->max)
		return check_fail(site, "is out of range");
	u = (uint64_t)n;
	memcpy(out, &u, sizeof(u));
	return 0;
}

static int
check_real(const json_t *value, char *out, const struct check_site *site)
{
	double d;

	if (!json_is_number(value))
		return check_fail(site, "is not a number");
	d = json_number_value(value);
	if (d < site->field->min || d > site->field->max)
		return check_fail(site, "is out of range");
	memcpy(out, &d, sizeof(d));
	return 0;
}

static int
check_bool(const json_t *value, char *out, const struct check_site *site)
{
	int flag;

	if (!json_is_boolean(value))
		return check_fail(site, "is not true or false");
	flag = json_is_true(value);
	memcpy(out, &flag, sizeof(flag));
	return 0;
}

static int
check_text(const json_t *value, char *out, const struct check_site *site)
{
	size_t len;

	if (!json_is_string(value))
		return check_fail(site, "is not a string");
	len = json_string_length(value);
	if (len != strlen(json_string_value(value)))
		return check_fail(site, "holds a NUL byte");
	if ((double)len < site->field->min)
		return check_fail(site, "is too short");
	if (len >= site->field->size)
		return check_fail(site, "is too long");
	memcpy(out, json_string_value(value), len + 1);
	return 0;
}

static int
check_name(const json_t *value, char *out, const struct check_site *site)
{
	const char *p;

	if (!json_is_string(value))
		return check_fail(site, "is not a string");
	for (p = json_string_value(value); *p != '\0'; p++) {
		if (!isalnum((unsigned char)*p) && strchr("._-/", *p) == NULL)
			return check_fail(site,
			    "holds a character other than letters, digits "
			    "and ._-/");
	}
	return check_text(value, out, site);
}

static int
check_address(const json_t *value, char *out, const struct check_site *site)
{
	char ip[ADDR_SIZE];
	uint16_t port;

	if (!json_is_string(value))
		return check_fail(site, "is not a string");
	if (check_addr(json_string_value(value), ip, sizeof(ip), &port) == -1)
		return check_fail(site, "is not an IP number and port");
	return check_text(value, out, site);
}

static int
check_array(const json_t *value, char *out, const struct check_site *site)
{
	if (!json_is_array(value))
		return check_fail(site, "is not an array");
	if ((double)json_array_size(value) < site->field->min ||
	    (double)json_array_size(value) > site->field->max)
		return check_fail(site, "has too few or too many items");
	*(const json_t **)(void *)out = value;
	return 0;
}

static int
check_child(const json_t *value, char *out, const struct check_site *site)
{
	if (!json_is_object(value))
		return check_fail(site, "is not an object");
	*(const json_t **)(void *)out = value;
	return 0;
}

static const struct check_field *
check_find(const struct check_field *fields, size_t n, const char *name)
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
	struct check_site site = { NULL, path, kind, err };
	const char *name;
	json_t *value;
	size_t i;

	if (!json_is_object(obj))
		return err_set(
		    err, kind, "%s: is not an object; write it as {...}", path);
	json_object_foreach ((json_t *)obj, name, value) {
		site.field = check_find(fields, n, name);
		if (site.field == NULL)
			return err_set(err, kind,
			    "%s.%s: unknown member; remove it or correct "
			    "its spelling",
			    path, name);
		if (check_stores[site.field->type](
			value, (char *)out + site.field->offset, &site) == -1)
			return -1;
	}
	for (i = 0; i < n; i++) {
		if (!fields[i].required ||
		    json_object_get(obj, fields[i].name) != NULL)
			continue;
		site.field = &fields[i];
		return check_fail(&site, "is missing");
	}
	return 0;
}

int
check_addr(const char *text, char *ip, size_t size, uint16_t *port)
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
