package main

// The Go runtime handles SIGHUP only once it has started, which takes milliseconds, and longer on a busy
// machine. Until then the signal would end the process. The settings are read after that.

/*
#include <signal.h>

__attribute__((constructor)) static void ignoreHangup(void) { signal(SIGHUP, SIG_IGN); }
*/
import "C"
