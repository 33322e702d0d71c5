package cmds

import (
	"fmt"
	"path/filepath"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rotisserie/eris"

	"github.com/wagtailwick/wagtailwick/internal/certs"
	"github.com/wagtailwick/wagtailwick/internal/ports"
	"github.com/wagtailwick/wagtailwick/internal/setup"
	"github.com/wagtailwick/wagtailwick/pkg/bundle"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const keysSiteHelp = `Create the keys and settings of a trial site on loopback: a settings file per entry, the key files of the operators marie and jean, their public keys (operators.json), the entries' VMs for a cloud stand-in (vms.json) and the addresses as shell variables (site.env). Ports are assigned upwards from --port, skipping those in use; the default is below the ephemeral range, so that an outgoing connection can't occupy the port of an entry that restarts.

Example: wagtailwick keys site --dir site a1:a a2:a b1:b`

// operators are the operators of a trial site; the first submits bundles, the
// second signs them.
var operators = []bundle.KeyName{"marie", "jean"}

func keysSiteCommand(app *kingpin.Application, ev *env) (string, func() error) {
	cmd := keysGroup(app).Command("site", keysSiteHelp)
	dir := cmd.Flag("dir", "Folder for the files; it must exist.").Required().ExistingDir()
	port := cmd.Flag("port", "First port.").Default("30000").Int()
	entries := cmd.Arg("entry", "Entries, each as id:zone.").Required().Strings()
	return cmd.FullCommand(), func() error {
		wtr := &siteWriter{ev: ev, dir: *dir, keys: make(bundle.Keys), ports: ports.Finder{First: *port}}
		return wtr.write(*entries)
	}
}

// A siteWriter writes the files of a trial site.
type siteWriter struct {
	ev    *env
	dir   string
	keys  bundle.Keys
	ports ports.Finder
	vars  strings.Builder
}

func (wtr *siteWriter) write(entries []string) error {
	for _, name := range operators {
		key, err := bundle.NewOperatorKey(name)
		if err != nil {
			return err
		}
		wtr.keys[name] = key.Public
		if err := wtr.writeSecret(string(name)+".json", key); err != nil {
			return err
		}
	}
	if err := wtr.writeSecret("operators.json", wtr.keys); err != nil {
		return err
	}
	storeAddr, err := wtr.ports.Addr()
	if err != nil {
		return err
	}
	cloudAddr, err := wtr.ports.Addr()
	if err != nil {
		return err
	}
	fmt.Fprintf(&wtr.vars, "STORE=%s\nCLOUD=%s\n", storeAddr, cloudAddr)
	set := setup.Default()
	set.Platform.StoreURL, set.Platform.CloudURL = "http://"+storeAddr, "http://"+cloudAddr
	set.OperatorKeys = wtr.keys
	vms, err := wtr.writeEntries(set, entries)
	if err != nil {
		return err
	}
	if err := wtr.writeSecret("vms.json", vms); err != nil {
		return err
	}
	return writeFile(filepath.Join(wtr.dir, "site.env"), wtr.vars.String())
}

// writeEntries writes the settings of the entries and returns their VMs.
func (wtr *siteWriter) writeEntries(set setup.Settings, entries []string) ([]wick.VM, error) {
	now := time.Now()
	aut, err := certs.NewAuthority(now)
	if err != nil {
		return nil, err
	}
	vms := make([]wick.VM, 0, len(entries))
	for _, text := range entries {
		name, zone, ok := strings.Cut(text, ":")
		if !ok || name == "" || zone == "" {
			return nil, eris.Wrapf(wick.ErrInvalid, "entry %q is not id:zone", text)
		}
		eid := wick.EntryID(name)
		pair, err := aut.Issue(eid, now)
		if err != nil {
			return nil, err
		}
		set.Entry = setup.Entry{ID: eid, Zone: wick.Zone(zone)}
		set.Peers = setup.Peers{Certificate: pair.Certificate, Key: pair.Key, Authority: aut.PEM}
		if err := wtr.assignPorts(&set.Listen); err != nil {
			return nil, err
		}
		if err := wtr.writeSecret(name+".json", set); err != nil {
			return nil, err
		}
		fmt.Fprintf(&wtr.vars, "CALLERS_%s=%s\nADMIN_%s=%s\n", name, set.Listen.Callers, name, set.Listen.Admin)
		vms = append(vms, wick.VM{
			ID: wick.VMID(eid), Role: wick.RoleEntry, Zone: wick.Zone(zone), Address: set.Listen.Peers,
			State: wick.VMLive, Reclaimable: true,
		})
	}
	return vms, nil
}

func (wtr *siteWriter) assignPorts(lsn *setup.Listen) error {
	for _, adr := range []*string{&lsn.Callers, &lsn.Peers, &lsn.Admin} {
		var err error
		if *adr, err = wtr.ports.Addr(); err != nil {
			return err
		}
	}
	return nil
}

func (wtr *siteWriter) writeSecret(name string, doc any) error {
	return writeSecret(wtr.ev, filepath.Join(wtr.dir, name), doc)
}
