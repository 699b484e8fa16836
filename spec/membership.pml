/* The agreement once more, with a fourth ballot: one change of members by the
 * first two ballots, one edit by the others, and no lost disk. */
#define BALLOTS 4
#define LOSSES 0
#define STAGED
#include "agreement.pml"
