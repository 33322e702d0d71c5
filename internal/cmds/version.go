package cmds

import (
	"fmt"
	"runtime/debug"

	"github.com/alecthomas/kingpin/v2"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

func versionCommand(app *kingpin.Application, ev *env) (string, func() error) {
	cmd := app.Command("version", "Print the version of the program and of the protocol between entries.")
	return cmd.FullCommand(), func() error {
		version := "unknown"
		if info, ok := debug.ReadBuildInfo(); ok {
			version = info.Main.Version
		}
		_, err := fmt.Fprintf(ev.stdout, "wagtailwick %s, protocol %d\n", version, wick.ProtocolVersion)
		return err
	}
}
