package cmds

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rotisserie/eris"

	"github.com/wagtailwick/wagtailwick/internal/setup"
	"github.com/wagtailwick/wagtailwick/pkg/bundle"
)

// errFaults reports that a checked file has faults, which were already printed.
var errFaults = errors.New("files have faults")

func checkCommand(app *kingpin.Application, ev *env) (string, func() error) {
	cmd := app.Command("check", "Validate settings and bundles and print every fault with its JSON path. "+
		"A document with a field \"services\" is treated as a bundle.\n\nExample: wagtailwick check entry-a1.json bundle.json")
	files := cmd.Arg("file", "Files to check.").Required().ExistingFiles()
	return cmd.FullCommand(), func() error {
		failed := false
		for _, file := range *files {
			faults, err := checkFile(file)
			if err != nil {
				return err
			}
			for _, flt := range faults {
				fmt.Fprintf(ev.stdout, "%s: %s: %s\n", file, flt.Path, flt.Message)
			}
			if len(faults) == 0 {
				fmt.Fprintf(ev.stdout, "%s: ok\n", file)
			}
			failed = failed || len(faults) > 0
		}
		if failed {
			return errFaults
		}
		return nil
	}
}

func checkFile(file string) ([]bundle.Fault, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrap(err, "read file")
	}
	if !isBundle(data) {
		_, faults := setup.Parse(data)
		return faults, nil
	}
	_, err = bundle.Decode(data)
	var faults bundle.FaultErrors
	if err != nil && !errors.As(err, &faults) {
		return []bundle.Fault{{Path: "$", Message: err.Error()}}, nil
	}
	return faults, nil
}

// isBundle reports whether the document has a top-level field "services". It
// reads only tokens, so that a document with a syntax error further down is
// still recognized.
func isBundle(data []byte) bool {
	dec := json.NewDecoder(bytes.NewReader(data))
	depth := 0
	for {
		tok, err := dec.Token()
		if err != nil {
			return false
		}
		switch val := tok.(type) {
		case json.Delim:
			if val == '{' || val == '[' {
				depth++
			} else {
				depth--
			}
		case string:
			if depth == 1 && val == "services" {
				return true
			}
		}
	}
}
