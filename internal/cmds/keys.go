package cmds

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rotisserie/eris"

	"github.com/wagtailwick/wagtailwick/internal/certs"
	"github.com/wagtailwick/wagtailwick/pkg/bundle"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const secretMode = 0o600

func keysPeersCommand(app *kingpin.Application, ev *env) (string, func() error) {
	cmd := keysGroup(app).Command("peers", "Create a certificate authority and a certificate per entry for the connections between entries. "+
		"Each file holds the \"peers\" part of an entry's settings.\n\nExample: wagtailwick keys peers --dir keys a1 b1 c1")
	dir := cmd.Flag("dir", "Folder for the files; it must exist.").Required().ExistingDir()
	entries := cmd.Arg("entry", "Entry ids.").Required().Strings()
	return cmd.FullCommand(), func() error {
		now := time.Now()
		aut, err := certs.NewAuthority(now)
		if err != nil {
			return err
		}
		for _, entry := range *entries {
			pair, err := aut.Issue(wick.EntryID(entry), now)
			if err != nil {
				return err
			}
			doc := map[string]string{"certificate": pair.Certificate, "key": pair.Key, "authority": aut.PEM}
			if err := writeSecret(ev, filepath.Join(*dir, entry+".peers.json"), doc); err != nil {
				return err
			}
		}
		return nil
	}
}

func keysOperatorCommand(app *kingpin.Application, ev *env) (string, func() error) {
	cmd := keysGroup(app).Command("operator", "Create a key pair for signing bundles. The public key goes into \"operatorKeys\" of the settings.\n\n"+
		"Example: wagtailwick keys operator --name marie --file keys/marie.json")
	name := cmd.Flag("name", "Name of the operator in the settings.").Required().String()
	file := cmd.Flag("file", "File for the key pair.").Required().String()
	return cmd.FullCommand(), func() error {
		key, err := bundle.NewOperatorKey(bundle.KeyName(*name))
		if err != nil {
			return err
		}
		if err := writeSecret(ev, *file, key); err != nil {
			return err
		}
		_, err = fmt.Fprintf(ev.stdout, "public key of %s: %s\n", key.Name, key.Public)
		return err
	}
}

// keysGroup returns the command that groups the key commands.
func keysGroup(app *kingpin.Application) *kingpin.CmdClause {
	if cmd := app.GetCommand("keys"); cmd != nil {
		return cmd
	}
	return app.Command("keys", "Create keys for peers and operators.")
}

// writeSecret creates a JSON file that only its owner can read. It fails if the
// file exists.
func writeSecret(ev *env, file string, doc any) error {
	data, err := json.MarshalIndent(doc, "", "  ")
	if err != nil {
		return eris.Wrap(err, "encode")
	}
	out, err := os.OpenFile(file, os.O_CREATE|os.O_EXCL|os.O_WRONLY, secretMode)
	if err != nil {
		return eris.Wrap(err, "create file")
	}
	_, err = out.Write(append(data, '\n'))
	if err = errors.Join(err, out.Close()); err != nil {
		return eris.Wrapf(err, "write %s", file)
	}
	_, err = fmt.Fprintf(ev.stdout, "wrote %s\n", file)
	return err
}
