package daemon

/*
#include <signal.h>

// Ignores SIGHUP until Main subscribes to it. The constructor runs before the Go runtime
// and the initialization of packages, which take milliseconds on a slow host.
__attribute__((constructor)) static void ignore_hangup(void) {
	signal(SIGHUP, SIG_IGN);
}
*/
import "C"
