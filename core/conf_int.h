/* Internal interfaces of the configuration module. */
#ifndef CONF_INT_H
#define CONF_INT_H

#include "conf.h"

/*
 * conf_parse.c: validates the body of an object and stores it in its struct.
 * Each returns 0, or -1 with err set to an error that begins with path.
 */
int conf_parse_model(
    const json_t *, const char *, struct conf_model *, struct err *);
int conf_parse_backend(
    const json_t *, const char *, struct conf_backend *, struct err *);
int conf_parse_service(
    const json_t *, const char *, struct conf_service *, struct err *);
int conf_parse_store(
    const json_t *, const char *, struct conf_store *, struct err *);
int conf_parse_drain(const json_t *, const char *, char *, int *, struct err *);

/* conf_fit.c: sets the list of cells and each model's home cells */
int conf_find_home_cells(struct conf *, struct err *);

#endif
