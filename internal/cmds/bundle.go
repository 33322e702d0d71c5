package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rotisserie/eris"

	"github.com/wagtailwick/wagtailwick/internal/store"
	"github.com/wagtailwick/wagtailwick/pkg/bundle"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// bundleTimeout bounds one command, including retries after lost responses.
const bundleTimeout = 30 * time.Second

// An operatorFlags holds the flags that all bundle commands share.
type operatorFlags struct {
	store   *string
	trusted *string
}

// bundleGroup returns the command that groups the bundle commands.
func bundleGroup(app *kingpin.Application) *kingpin.CmdClause {
	if cmd := app.GetCommand("bundle"); cmd != nil {
		return cmd
	}
	return app.Command("bundle", "Change and show the bundle.")
}

func (ofl *operatorFlags) register(cmd *kingpin.CmdClause) {
	ofl.store = cmd.Flag("store", "URL of the platform's object API.").Required().String()
	ofl.trusted = cmd.Flag("trusted", "JSON file with the operators' public keys by name, as \"operatorKeys\" in the settings.").
		Required().ExistingFile()
}

// run calls fn with a bundle client and, if keyFile is not nil, with the
// operator's signing key.
func (ofl *operatorFlags) run(keyFile *string, fn func(ctx context.Context, cli *bundle.Client, sgr bundle.Signer) error) error {
	keys := make(bundle.Keys)
	if err := readJSON(*ofl.trusted, &keys); err != nil {
		return err
	}
	if err := keys.Check(); err != nil {
		return err
	}
	var sgr bundle.Signer
	if keyFile != nil {
		var key bundle.OperatorKey
		err := readJSON(*keyFile, &key)
		if err == nil {
			sgr, err = key.Signer()
		}
		if err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), bundleTimeout)
	defer cancel()
	return fn(ctx, &bundle.Client{Store: &store.Client{URL: *ofl.store}, Keys: keys, Clock: wick.SystemClock{}}, sgr)
}

func readJSON(file string, out any) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return eris.Wrap(err, "read file")
	}
	if err := json.Unmarshal(data, out); err != nil {
		return eris.Wrapf(err, "decode %s", file)
	}
	return nil
}

func bundleSubmitCommand(app *kingpin.Application, ev *env) (string, func() error) {
	cmd := bundleGroup(app).Command("submit", "Submit a new version of the bundle. It takes effect after a second operator has signed it.\n\n"+
		"Example: wagtailwick bundle submit --store http://127.0.0.1:6001 --trusted operators.json --key marie.json bundle.json")
	var ofl operatorFlags
	ofl.register(cmd)
	key := cmd.Flag("key", "Key file of the submitter.").Required().ExistingFile()
	file := cmd.Arg("file", "The bundle.").Required().ExistingFile()
	return cmd.FullCommand(), func() error {
		data, err := os.ReadFile(*file)
		if err != nil {
			return eris.Wrap(err, "read file")
		}
		bnd, err := bundle.Decode(data)
		if err != nil {
			return err
		}
		return ofl.run(key, func(ctx context.Context, cli *bundle.Client, sgr bundle.Signer) error {
			bnd, err := cli.Submit(ctx, sgr, bnd)
			if err == nil {
				fmt.Fprintf(ev.stdout, "version %d submitted, not in force before a second operator signs it\n", bnd.Version)
			}
			return err
		})
	}
}

func bundleSignCommand(app *kingpin.Application, ev *env) (string, func() error) {
	cmd := bundleGroup(app).Command("sign", "Sign a submitted version. It takes effect once signed.\n\n"+
		"Example: wagtailwick bundle sign --store http://127.0.0.1:6001 --trusted operators.json --key jean.json 7")
	var ofl operatorFlags
	ofl.register(cmd)
	key := cmd.Flag("key", "Key file of the signer, who must not be the submitter.").Required().ExistingFile()
	ver := cmd.Arg("version", "The version.").Required().Uint64()
	return cmd.FullCommand(), func() error {
		return ofl.run(key, func(ctx context.Context, cli *bundle.Client, sgr bundle.Signer) error {
			err := cli.Sign(ctx, sgr, wick.BundleVersion(*ver))
			if err == nil {
				fmt.Fprintf(ev.stdout, "version %d signed by %s\n", *ver, sgr.Name)
			}
			return err
		})
	}
}

func bundleListCommand(app *kingpin.Application, ev *env) (string, func() error) {
	cmd := bundleGroup(app).Command("list", "List all versions.\n\n"+
		"Example: wagtailwick bundle list --store http://127.0.0.1:6001 --trusted operators.json")
	var ofl operatorFlags
	ofl.register(cmd)
	return cmd.FullCommand(), func() error {
		return ofl.run(nil, func(ctx context.Context, cli *bundle.Client, _ bundle.Signer) error {
			entries, err := cli.List(ctx)
			for idx := range entries {
				printVersion(ev.stdout, &entries[idx])
			}
			return err
		})
	}
}

func printVersion(out io.Writer, ent *bundle.VersionInfo) {
	signer := ent.Signer
	if signer == "" {
		signer = "nobody"
	}
	fmt.Fprintf(out, "version %d submitted by %s, signed by %s, moves %d", ent.Version, ent.Submitter, signer, len(ent.Bundle.Moves))
	if ent.Fault != "" {
		fmt.Fprintf(out, ", not usable: %s", ent.Fault)
	}
	fmt.Fprintln(out)
}

func bundleUndoCommand(app *kingpin.Application, ev *env) (string, func() error) {
	cmd := bundleGroup(app).Command("undo", "Submit the content of an older version as a new, higher version. It takes effect after a second operator has signed it.\n\n"+
		"Example: wagtailwick bundle undo --store http://127.0.0.1:6001 --trusted operators.json --key marie.json 6")
	var ofl operatorFlags
	ofl.register(cmd)
	key := cmd.Flag("key", "Key file of the submitter.").Required().ExistingFile()
	ver := cmd.Arg("version", "The version whose content to restore.").Required().Uint64()
	return cmd.FullCommand(), func() error {
		return ofl.run(key, func(ctx context.Context, cli *bundle.Client, sgr bundle.Signer) error {
			bnd, err := cli.Undo(ctx, sgr, wick.BundleVersion(*ver))
			if err == nil {
				fmt.Fprintf(ev.stdout, "version %d submitted with the content of version %d, not in force before a second operator signs it\n",
					bnd.Version, *ver)
			}
			return err
		})
	}
}
