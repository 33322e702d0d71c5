#include <signal.h>

/* Runs before the Go runtime starts, which preserves the disposition of signals
   that are ignored at that time. */
__attribute__((constructor)) static void ignoreHangup(void)
{
	signal(SIGHUP, SIG_IGN);
}
