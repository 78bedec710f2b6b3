package ignorer

// The Go runtime leaves SIGHUP ignored if it finds it so. A constructor runs before the runtime starts:
// until init, the signal would end the process.

/*
#include <signal.h>

static void __attribute__((constructor)) ignoreHangup(void) { signal(SIGHUP, SIG_IGN); }
*/
import "C"
