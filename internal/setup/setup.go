// Package setup reads the settings of an entry.
package setup

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	_ "embed"
	"encoding/json"
	"fmt"
	"net"
	"strings"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"github.com/sirupsen/logrus"
	"golang.org/x/text/language"
	"golang.org/x/text/message"

	"github.com/wagtailwick/wagtailwick/pkg/bundle"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

//go:embed settings.schema.json
var schemaJSON []byte

// Settings are the settings of one entry.
type Settings struct {
	Entry    Entry    `json:"entry"`
	Listen   Listen   `json:"listen"`
	Platform Platform `json:"platform"`
	Peers    Peers    `json:"peers"`
	// OperatorKeys are the public keys of the operators by name. At least two
	// are set, because submitter and signer must differ.
	OperatorKeys bundle.Keys `json:"operatorKeys"`
	Log          Log         `json:"log"`
	Limits       Limits      `json:"limits"`
}

// Entry names the entry.
type Entry struct {
	ID     wick.EntryID `json:"id"`
	Zone   wick.Zone    `json:"zone"`
	Region wick.Region  `json:"region"`
}

// Listen is the set of addresses "host:port" that the entry listens on.
type Listen struct {
	// Callers is the address for callers, the only one they can reach.
	Callers string `json:"callers"`
	// Peers is the UDP address for other entries.
	Peers string `json:"peers"`
	// Admin is a loopback or zone-internal address, different from Callers.
	Admin string `json:"admin"`
}

// Platform holds the addresses of the platform.
type Platform struct {
	StoreURL      string      `json:"storeUrl"`
	CloudURL      string      `json:"cloudUrl"`
	TimeoutMillis wick.Millis `json:"timeoutMillis"`
}

// Peers holds the keys for the connections between entries, in PEM.
type Peers struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	Authority   string `json:"authority"`
}

// Log sets the log's level and format.
type Log struct {
	Level  string `json:"level"`
	Format string `json:"format"`
}

// Limits bound the memory and the drain time of one entry.
type Limits struct {
	// MaxRequests bounds accepted, waiting and replicated requests together.
	MaxRequests int `json:"maxRequests"`
	// MaxBodyBytes is at most 768 KiB, because a request has to fit into one
	// message to its replica (wick.MaxMessageBytes): a larger one is lost with
	// its entry.
	MaxBodyBytes int         `json:"maxBodyBytes"`
	DrainMillis  wick.Millis `json:"drainMillis"`
}

// Log formats.
const (
	FormatText = "text"
	FormatJSON = "json"
)

// Default returns the default settings.
func Default() Settings {
	return Settings{
		Platform: Platform{TimeoutMillis: 2000},
		Log:      Log{Level: "info", Format: FormatJSON},
		Limits: Limits{
			MaxRequests:  6000,
			MaxBodyBytes: 768 << 10,
			DrainMillis:  25_000,
		},
	}
}

// Parse decodes and validates settings. It returns all faults, not just the
// first.
func Parse(data []byte) (Settings, []bundle.Fault) {
	set := Default()
	if faults := checkSchema(data); len(faults) > 0 {
		sortFaults(faults)
		return set, faults
	}
	if err := json.Unmarshal(data, &set); err != nil {
		return set, []bundle.Fault{{Path: "$", Message: err.Error()}}
	}
	return set, set.check()
}

// checkSchema validates the document against settings.schema.json.
func checkSchema(data []byte) []bundle.Fault {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		return []bundle.Fault{{Path: "$", Message: "not valid JSON: " + err.Error()}}
	}
	schemaDoc, err := jsonschema.UnmarshalJSON(bytes.NewReader(schemaJSON))
	if err != nil {
		return []bundle.Fault{{Path: "$", Message: "schema: " + err.Error()}}
	}
	comp := jsonschema.NewCompiler()
	if err := comp.AddResource("settings.schema.json", schemaDoc); err != nil {
		return []bundle.Fault{{Path: "$", Message: "schema: " + err.Error()}}
	}
	schema, err := comp.Compile("settings.schema.json")
	if err != nil {
		return []bundle.Fault{{Path: "$", Message: "schema: " + err.Error()}}
	}
	err = schema.Validate(doc)
	if err == nil {
		return nil
	}
	verr, ok := err.(*jsonschema.ValidationError) //nolint:errorlint // Validate returns the type unwrapped
	if !ok {
		return []bundle.Fault{{Path: "$", Message: err.Error()}}
	}
	return schemaFaults(verr, message.NewPrinter(language.English))
}

// schemaFaults returns the leaves of a validation error.
func schemaFaults(verr *jsonschema.ValidationError, printer *message.Printer) []bundle.Fault {
	if len(verr.Causes) == 0 {
		path := jsonPath(verr.InstanceLocation)
		if extra, ok := verr.ErrorKind.(*kind.AdditionalProperties); ok {
			faults := make([]bundle.Fault, 0, len(extra.Properties))
			for _, name := range extra.Properties {
				faults = append(faults, bundle.Fault{Path: path + "." + name, Message: "unknown field"})
			}
			return faults
		}
		return []bundle.Fault{{Path: path, Message: verr.ErrorKind.LocalizedString(printer)}}
	}
	var faults []bundle.Fault
	for _, cause := range verr.Causes {
		faults = append(faults, schemaFaults(cause, printer)...)
	}
	return faults
}

// jsonPath returns the path of a value, such as "$.limits.maxRequests".
func jsonPath(parts []string) string {
	return strings.Join(append([]string{"$"}, parts...), ".")
}

// check validates the constraints that the schema can't express.
func (set *Settings) check() []bundle.Fault {
	var faults []bundle.Fault
	add := func(path, format string, args ...any) {
		faults = append(faults, bundle.Fault{Path: path, Message: fmt.Sprintf(format, args...)})
	}
	for path, addr := range map[string]string{
		"$.listen.callers": set.Listen.Callers,
		"$.listen.peers":   set.Listen.Peers,
		"$.listen.admin":   set.Listen.Admin,
	} {
		if err := checkAddress(addr); err != nil {
			add(path, "%v", err)
		}
	}
	if set.Listen.Admin == set.Listen.Callers {
		add("$.listen.admin", "must differ from $.listen.callers, so that callers can't reach it")
	}
	if host, _, err := net.SplitHostPort(set.Listen.Admin); err == nil && net.ParseIP(host).IsUnspecified() {
		add("$.listen.admin", "must name a loopback or zone-internal address, not %s", host)
	}
	if _, err := logrus.ParseLevel(set.Log.Level); err != nil {
		add("$.log.level", "unknown level %q", set.Log.Level)
	}
	if err := set.OperatorKeys.Check(); err != nil {
		add("$.operatorKeys", "%v", err)
	}
	faults = append(faults, set.checkPeers()...)
	sortFaults(faults)
	return faults
}

func (set *Settings) checkPeers() []bundle.Fault {
	var faults []bundle.Fault
	cert, err := tls.X509KeyPair([]byte(set.Peers.Certificate), []byte(set.Peers.Key))
	if err != nil {
		// The text of the error never contains key material.
		return append(faults, bundle.Fault{Path: "$.peers.certificate", Message: "certificate and key don't fit: " + err.Error()})
	}
	if name := cert.Leaf.Subject.CommonName; name != string(set.Entry.ID) {
		faults = append(faults, bundle.Fault{
			Path:    "$.peers.certificate",
			Message: fmt.Sprintf("common name %q is not the entry id %q", name, set.Entry.ID),
		})
	}
	if !x509.NewCertPool().AppendCertsFromPEM([]byte(set.Peers.Authority)) {
		faults = append(faults, bundle.Fault{Path: "$.peers.authority", Message: "no certificate in PEM"})
	}
	return faults
}

func checkAddress(addr string) error {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return fmt.Errorf("not an address host:port: %q", addr)
	}
	if net.ParseIP(host) == nil {
		return fmt.Errorf("host must be an IP address: %q", host)
	}
	return nil
}

// Redacted returns a copy without secrets, for state dumps.
func (set *Settings) Redacted() Settings {
	out := *set
	if out.Peers.Key != "" {
		out.Peers.Key = "redacted"
	}
	out.Platform.StoreURL = redactURL(out.Platform.StoreURL)
	out.Platform.CloudURL = redactURL(out.Platform.CloudURL)
	return out
}

// redactURL replaces the user info of a URL.
func redactURL(text string) string {
	scheme, rest, ok := strings.Cut(text, "://")
	if !ok {
		return text
	}
	if _, host, ok := strings.Cut(rest, "@"); ok {
		return scheme + "://redacted@" + host
	}
	return text
}
