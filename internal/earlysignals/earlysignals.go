// Package earlysignals keeps a SIGHUP from ending the process before the process can handle it. The Go runtime and the
// packages take some milliseconds to start, in which the default action of SIGHUP would be in force. Importing the
// package is enough: a constructor of the C library ignores SIGHUP until signal.Notify installs a handler.
//
// No reload is lost by that, since a gateway reads its configuration only after the handler is installed.
package earlysignals

/*
#include <signal.h>

__attribute__((constructor)) static void ignore_hangup(void) { signal(SIGHUP, SIG_IGN); }
*/
import "C"
