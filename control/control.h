/* Entry point of the control process, with a choice of placement policy. */
#ifndef CONTROL_H
#define CONTROL_H

#include "place.h"

/*
 * Runs the control process with main()'s arguments; returns its exit status.
 * A NULL policy selects the default one.
 */
int control_main(int, char **, place_policy);

#endif
