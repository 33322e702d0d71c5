// Command standin runs one case of the review: it starts stand-ins of the platform, of
// runners and of clients, and the project's entry as a process.
package main

import (
	"fmt"
	"os"
)

// cases holds the cases by name. Each registers itself.
var cases = make(map[string]func(sit *site))

func main() { os.Exit(run()) }

func run() (code int) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		return 2
	}
	var sit *site
	defer func() {
		cause := recover()
		if sit != nil {
			sit.stop()
		}
		if cause == nil {
			return
		}
		fmt.Fprintln(os.Stderr, "the case could not run:", cause)
		if sit != nil {
			sit.logf("the case could not run: %v", cause)
		}
		code = 2
	}()
	sit = newSite(os.Args[2])
	cases[os.Args[1]](sit)
	return sit.result()
}
