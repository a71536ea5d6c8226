/* Shared by the files of the configuration. */
#ifndef CONF_INT_H
#define CONF_INT_H

#include "conf.h"

/* conf_parse.c: one object's body into its struct */
int conf_parse_model(
    const json_t *, const char *, struct conf_model *, struct err *);
int conf_parse_backend(
    const json_t *, const char *, struct conf_backend *, struct err *);
int conf_parse_service(
    const json_t *, const char *, struct conf_service *, struct err *);
int conf_parse_store(
    const json_t *, const char *, struct conf_store *, struct err *);
int conf_parse_drain(const json_t *, const char *, char *, int *, struct err *);

/* conf_fit.c: fills in the cells, and the home cells of every model */
int conf_find_home_cells(struct conf *, struct err *);

#endif
