// Package early makes a program ignore SIGHUP from process start until
// signal.Notify registers for it. Otherwise the signal terminates a process during
// package initialization, before main can install a handler. Programs import it
// for its side effect; it has none in builds without cgo.
package early
