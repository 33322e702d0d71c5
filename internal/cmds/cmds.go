// Package cmds implements the commands of the wagtailwick program, one file
// per command.
package cmds

import (
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"
)

// Exit codes of the program.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// An env holds the output streams of a command.
type env struct {
	stdout io.Writer
	stderr io.Writer
}

// A command registers itself and its flags with the application and returns its
// name and the function that runs it.
type command func(app *kingpin.Application, env *env) (name string, run func() error)

// commands lists all commands in the order of the help text.
var commands = []command{
	benchCommand,
	bundleListCommand,
	bundleSignCommand,
	bundleStatusCommand,
	bundleSubmitCommand,
	bundleUndoCommand,
	checkCommand,
	demoCommand,
	dumpCommand,
	entryCommand,
	explainCommand,
	keysOperatorCommand,
	keysPeersCommand,
	keysSiteCommand,
	loadCommand,
	measureCommand,
	versionCommand,
	replayCommand,
	standinCommand,
	whereCommand,
}

// Main runs the command given by args and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	ev := &env{stdout: stdout, stderr: stderr}
	app := kingpin.New("wagtailwick", "A serving system for endpoints on reclaimable VMs.")
	app.UsageWriter(stdout).ErrorWriter(stderr)
	terminated := false
	app.Terminate(func(int) { terminated = true })
	runs := make(map[string]func() error, len(commands))
	for _, cmd := range commands {
		name, run := cmd(app, ev)
		runs[name] = run
	}
	name, err := app.Parse(args)
	if terminated {
		return exitOK
	}
	if err != nil {
		fmt.Fprintf(stderr, "wagtailwick: %v\n", err)
		return exitUsage
	}
	if err := runs[name](); err != nil {
		fmt.Fprintf(stderr, "wagtailwick %s: %v\n", name, err)
		return exitFailed
	}
	return exitOK
}
