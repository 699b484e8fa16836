/* The agreement model with a fourth ballot: one change of members in the first
 * two ballots, one edit in the others, and no lost disk. */
#define BALLOTS 4
#define LOSSES 0
#define STAGED
#include "agreement.pml"
