/* spindle-control: declarations, cells, memory and membership. */
#include <stddef.h>

#include "control.h"

int
main(int argc, char **argv)
{
	return control_main(argc, argv, NULL);
}
