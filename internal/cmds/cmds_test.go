package cmds

import (
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"wagtailwick": func() { os.Exit(Main(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

// TestScripts runs the command line in testscript files and guards against
// changed exit codes and output.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata/script"})
}
