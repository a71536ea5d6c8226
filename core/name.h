/*
 * Keys for names of any length.  Names from outside are as long as their writer
 * likes; tables and messages hold them in buffers of one size.  A key stands
 * for the whole name: different names have different keys, in every process.
 */
#ifndef NAME_H
#define NAME_H

#include <stddef.h>

/*
 * Writes the key of a name of a length to a buffer of a size of 32 bytes or
 * more.  A name that fits, and has neither a slash nor a NUL, is its own key;
 * of any other the key ends in a hash of 120 or 128 bits.  The key of a key is
 * the key itself.
 */
void name_key(char *, size_t, const char *, size_t);
/*
 * The same of an adapter, from its model's key: MODEL/ADAPTER, in a buffer of
 * FLEET_NAME_SIZE bytes.
 */
void name_adapter_key(char *, const char *, const char *, size_t);

#endif
