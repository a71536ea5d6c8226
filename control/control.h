/* The whole control process, with the placement policy to be used. */
#ifndef CONTROL_H
#define CONTROL_H

#include "place.h"

/* Runs as main() would; a NULL policy is the product's own. */
int control_main(int, char **, place_policy);

#endif
