#include <signal.h>

/* Runs before the Go runtime starts, which leaves signals alone that are ignored
   when it does. */
__attribute__((constructor)) static void ignoreHangup(void)
{
	signal(SIGHUP, SIG_IGN);
}
