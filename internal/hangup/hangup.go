// Package hangup ignores SIGHUP from the start of the process. The Go runtime and the packages of
// other modules are initialized before the program's own code, and a SIGHUP that arrives until then
// would end the process. The runtime leaves an ignored SIGHUP ignored until os/signal.Notify captures
// it. The package handles no signals itself.
package hangup

/*
#include <signal.h>

static void (*inherited)(int);

__attribute__((constructor)) static void ignoreHangup(void) { inherited = signal(SIGHUP, SIG_IGN); }

static void restoreHangup(void) { signal(SIGHUP, inherited); }
*/
import "C"

// Restore gives SIGHUP the effect that it had when the process was started: for most processes that
// it ends them. It must not be called while os/signal captures SIGHUP.
func Restore() { C.restoreHangup() }
