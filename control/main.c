/*
 * spindle-control: manages declared configuration, cells, engine memory and
 * cluster membership.
 */
#include <stddef.h>

#include "control.h"

int
main(int argc, char **argv)
{
	return control_main(argc, argv, NULL);
}
