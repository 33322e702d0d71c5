// Package early makes a program ignore SIGHUP from the moment it is loaded, until
// signal.Notify asks for it. Without it, the signal ends a process whose packages
// still initialise, before any code of main can catch it. Programs import it for
// its effect; it has none in builds without cgo.
package early
