// Command wagtailwick is a serving system for endpoints on reclaimable VMs.
package main

import (
	"os"

	"github.com/wagtailwick/wagtailwick/internal/cmds"
)

func main() {
	os.Exit(cmds.Main(os.Args[1:], os.Stdout, os.Stderr))
}
