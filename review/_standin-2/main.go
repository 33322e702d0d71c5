// Command review-2 holds the stand-ins and the checks of the review's scripts: a platform's
// store, runners, clients, and the start of the entries as processes.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases maps the name of a case to its function, which returns the exit code.
var cases = map[string]func(env *environment) int{
	"unframed": playUnframed,
	"framing":  playFraming,
	"endless":  playEndless,
	"slowread": playSlowRead,
}

func main() {
	if len(os.Args) == 3 && os.Args[1] == "runner" {
		serveRunner(os.Args[2])
		return
	}
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE ROOT RECORD, or review-2 runner ID")
		os.Exit(exitNotRun)
	}
	env, err := newEnvironment(os.Args[2], os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, "review-2:", err)
		os.Exit(exitNotRun)
	}
	code := cases[os.Args[1]](env)
	env.close()
	fmt.Printf("%s: exit code %d (0: the rule held, 1: it was broken, 2: the case could not run)\n", os.Args[1], code)
	os.Exit(code)
}
