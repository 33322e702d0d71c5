package bundle_test

import (
	"crypto/ed25519"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/bundle"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

var start = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

func sampleBundle(ver wick.BundleVersion) bundle.Bundle {
	return bundle.Bundle{
		Version: ver, Replaces: ver - 1, LedgerShards: 8,
		Services: []bundle.Service{
			{Name: "quotes", Kind: bundle.KindModel, Versions: []wick.ModelVersion{"q1", "q2"}, Active: "q1"},
			{Name: "orders", Kind: bundle.KindPlain, Versions: []wick.ModelVersion{"o1"}, Active: "o1", Calls: []bundle.Call{{Method: "POST", Path: "/book"}}},
		},
		Classes:   []bundle.Class{{Name: "big", Service: "quotes", Slots: 8}},
		Customers: []bundle.Customer{{Name: "north", KeyHash: strings.Repeat("0a", 32), Weight: 1}},
		Moves:     []wick.Move{{Name: "mv", Service: "quotes", From: "q1", To: "q2", Deadline: start.Add(time.Hour), MaxShareBeforeProof: 0.05}},
	}
}

func signer(name string) bundle.Signer {
	seed := make([]byte, ed25519.SeedSize)
	copy(seed, name)
	return bundle.Signer{Name: bundle.KeyName(name), Key: ed25519.NewKeyFromSeed(seed)}
}

func operatorKeys(names ...string) bundle.Keys {
	out := bundle.Keys{}
	for _, name := range names {
		out[bundle.KeyName(name)] = signer(name).PublicText()
	}
	return out
}

func faultPaths(t *testing.T, err error) []string {
	t.Helper()
	var fts bundle.FaultErrors
	if !errors.As(err, &fts) || !errors.Is(err, wick.ErrInvalid) {
		t.Fatalf("error %v is not a FaultErrors that matches ErrInvalid", err)
	}
	out := make([]string, 0, len(fts))
	for _, fau := range fts {
		out = append(out, fau.Path)
	}
	slices.Sort(out)
	return out
}

// TestDecodeFaults guards against accepting documents that violate a documented
// check, and against reporting only the first fault.
func TestDecodeFaults(t *testing.T) {
	for _, tc := range []struct {
		name string
		// edits are pairs of old and new text in the encoded sample.
		edits []string
		want  []string
	}{
		{"valid", nil, nil},
		{"unknown field", []string{`"version":2`, `"version":2,"colour":1`}, []string{"$"}},
		{"unknown nested field", []string{`"slots":8`, `"slots":8,"seats":1`}, []string{"$.classes[0]"}},
		{"duplicate key", []string{`"slots":8`, `"slots":8,"slots":9`}, []string{"$.classes[0].slots"}},
		{"duplicate key in other case", []string{`"slots":8`, `"slots":8,"Slots":9`}, []string{"$.classes[0].Slots"}},
		{"field in other case", []string{`"slots":8`, `"Slots":8`}, []string{"$.classes[0]", "$.classes[0]"}},
		{"trailing data", []string{`"moves"`, `"moves"`, `}]}`, `}]}{}`}, []string{"$"}},
		{"not the next version", []string{`"replaces":1`, `"replaces":7`}, []string{"$.replaces"}},
		{"dangling references", []string{`"service":"quotes","from":"q1"`, `"service":"none","from":"q1"`, `"name":"big","service":"quotes"`, `"name":"big","service":"nil"`}, []string{"$.classes[0].service", "$.moves[0].service"}},
		{"versions of a move", []string{`"from":"q1","to":"q2"`, `"from":"q2","to":"q9"`}, []string{"$.moves[0].from", "$.moves[0].to"}},
		{"from is no version", []string{`"from":"q1"`, `"from":"x"`}, []string{"$.moves[0].from"}},
		{"same versions", []string{`"to":"q2"`, `"to":"q1"`}, []string{"$.moves[0].to"}},
		{"schema and semantics together", []string{`0.05`, `1.5`, `"active":"o1"`, `"active":"o2"`}, []string{"$.moves[0].maxShareBeforeProof", "$.services[1].active"}},
		{"zero share", []string{`0.05`, `0`}, []string{"$.moves[0].maxShareBeforeProof"}},
		{"duplicate names", []string{`"name":"orders"`, `"name":"quotes"`, `["q1","q2"]`, `["q1","q1"]`}, []string{"$.moves[0].to", "$.services[0].versions[1]", "$.services[1].name"}},
		{"shards", []string{`"ledgerShards":8`, `"ledgerShards":65`}, []string{"$.ledgerShards"}},
		{"key hash", []string{`0a0a`, `zz0a`}, []string{"$.customers[0].keyHash"}},
		{"calls of a model service", []string{`"kind":"plain"`, `"kind":"model"`}, []string{"$.services[1].calls"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			doc, err := json.Marshal(sampleBundle(2))
			if err != nil {
				t.Fatal(err)
			}
			text := string(doc)
			for idx := 0; idx < len(tc.edits); idx += 2 {
				text = strings.Replace(text, tc.edits[idx], tc.edits[idx+1], 1)
			}
			got, err := bundle.Decode([]byte(text))
			if tc.want == nil {
				if err != nil || !reflect.DeepEqual(got, sampleBundle(2)) {
					t.Fatalf("got %+v, %v", got, err)
				}
				return
			}
			if pts := faultPaths(t, err); !slices.Equal(pts, tc.want) {
				t.Fatalf("faults at %v, want %v: %v", pts, tc.want, err)
			}
		})
	}
}

// TestCheckNext guards against accepting a submission that changes the number of
// shards, skips a version or sets a deadline that can't be met.
func TestCheckNext(t *testing.T) {
	prev := sampleBundle(2)
	next := sampleBundle(4)
	next.LedgerShards = 9
	next.Moves[0].WatchMillis = wick.Millis(time.Hour / time.Millisecond)
	got := faultPaths(t, bundle.CheckNext(next, &prev, start))
	if want := []string{"$.ledgerShards", "$.moves[0].deadline", "$.version"}; !slices.Equal(got, want) {
		t.Fatalf("faults at %v, want %v", got, want)
	}
	if fts := bundle.CheckNext(sampleBundle(3), &prev, start); len(fts) > 0 {
		t.Fatal(fts)
	}
}

// TestSchemaMatchesTypes guards against a schema that is out of sync with the
// Go types.
func TestSchemaMatchesTypes(t *testing.T) {
	type object struct {
		Properties map[string]json.RawMessage `json:"properties"`
		Required   []string                   `json:"required"`
		Additional *bool                      `json:"additionalProperties"`
		Defs       map[string]json.RawMessage `json:"$defs"`
	}
	var root object
	if err := json.Unmarshal(bundle.Schema, &root); err != nil {
		t.Fatal(err)
	}
	for name, typ := range map[string]reflect.Type{
		"": reflect.TypeFor[bundle.Bundle](), "service": reflect.TypeFor[bundle.Service](), "call": reflect.TypeFor[bundle.Call](),
		"targets": reflect.TypeFor[bundle.Targets](), "class": reflect.TypeFor[bundle.Class](),
		"customer": reflect.TypeFor[bundle.Customer](), "move": reflect.TypeFor[wick.Move](),
		"fleet": reflect.TypeFor[bundle.Fleet](), "offer": reflect.TypeFor[bundle.Offer](),
		"fleetService": reflect.TypeFor[bundle.FleetService](),
	} {
		obj := root
		if name != "" {
			obj = object{}
			if err := json.Unmarshal(root.Defs[name], &obj); err != nil {
				t.Fatalf("%s: %v", name, err)
			}
		}
		fields, required := make([]string, 0, typ.NumField()), make([]string, 0, typ.NumField())
		for idx := range typ.NumField() {
			tag, opts, _ := strings.Cut(typ.Field(idx).Tag.Get("json"), ",")
			fields = append(fields, tag)
			if opts == "" {
				required = append(required, tag)
			}
		}
		props := make([]string, 0, len(obj.Properties))
		for prop := range obj.Properties {
			props = append(props, prop)
		}
		for _, lst := range [][]string{fields, required, props, obj.Required} {
			slices.Sort(lst)
		}
		if !slices.Equal(fields, props) || !slices.Equal(required, obj.Required) || obj.Additional == nil || *obj.Additional {
			t.Errorf("%q: schema has %v (required %v), type has %v (required %v)", name, props, obj.Required, fields, required)
		}
	}
	if len(root.Defs) != 9 {
		t.Errorf("schema defines %d types, want 9", len(root.Defs))
	}
}

func signedBundle(t *testing.T, submitter, second string) bundle.Signed {
	t.Helper()
	sub, err := signer(submitter).Submission(sampleBundle(1))
	if err != nil {
		t.Fatal(err)
	}
	sig, err := signer(second).Sign(1, sub, "w")
	if err != nil {
		t.Fatal(err)
	}
	return bundle.Signed{Version: 1, Submission: sub, Signature: sig}
}

// TestVerifyBundle guards against accepting a bundle that was not signed by two
// different trusted operators.
func TestVerifyBundle(t *testing.T) {
	kys := operatorKeys("ann", "ben")
	good := signedBundle(t, "ann", "ben")
	if bnd, err := kys.Verify(good); err != nil || !reflect.DeepEqual(bnd, sampleBundle(1)) {
		t.Fatal(bnd, err)
	}
	tamper := func(modify func(*bundle.Signed)) bundle.Signed {
		sgd := good
		modify(&sgd)
		return sgd
	}
	var sub bundle.Submission
	if err := json.Unmarshal(good.Submission, &sub); err != nil {
		t.Fatal(err)
	}
	for name, sgd := range map[string]bundle.Signed{
		"own signature":      signedBundle(t, "ann", "ann"),
		"untrusted signer":   signedBundle(t, "ann", "eve"),
		"untrusted operator": signedBundle(t, "eve", "ben"),
		"other version":      tamper(func(sgd *bundle.Signed) { sgd.Version = 2 }),
		"changed bytes":      tamper(func(sgd *bundle.Signed) { sgd.Submission = append(slices.Clone(sgd.Submission), ' ') }),
		"no signature":       tamper(func(sgd *bundle.Signed) { sgd.Signature = nil }),
		"proof as signature": tamper(func(sgd *bundle.Signed) {
			sgd.Signature = fmt.Appendf(nil, `{"version":1,"signer":"ann","writeId":"w","sum":%q}`, base64.StdEncoding.EncodeToString(sub.Proof))
		}),
		"submitter named by the signer": tamper(func(sgd *bundle.Signed) {
			// Ben alone writes a submission in Ann's name and signs it.
			alone := signedBundle(t, "ben", "ben")
			sgd.Submission = []byte(strings.Replace(string(alone.Submission), `"ben"`, `"ann"`, 1))
			sgd.Signature, _ = signer("ben").Sign(1, sgd.Submission, "w")
		}),
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := kys.Verify(sgd); !errors.Is(err, wick.ErrInvalid) {
				t.Fatalf("got %v, want ErrInvalid", err)
			}
		})
	}
	kys["cara"] = kys["ann"]
	if kys.Check() == nil {
		t.Error("two names for one key were accepted")
	}
}

func FuzzDecode(f *testing.F) {
	doc, err := json.Marshal(sampleBundle(2))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(doc)
	f.Add([]byte(`{"version":1,"Version":2}`))
	f.Add([]byte(`[[[[[[[[[[[[[[[[[[1]]]]]]]]]]]]]]]]]]`))
	f.Fuzz(func(t *testing.T, data []byte) {
		bnd, err := bundle.Decode(data)
		if err != nil {
			if !errors.Is(err, wick.ErrInvalid) {
				t.Fatalf("error %v does not match ErrInvalid", err)
			}
			return
		}
		out, err := json.Marshal(bnd)
		if err != nil {
			t.Fatal(err)
		}
		again, err := bundle.Decode(out)
		if err != nil {
			t.Fatalf("encoded form of an accepted bundle is refused: %v\n%s", err, out)
		}
		next, err := json.Marshal(again)
		if err != nil || string(next) != string(out) {
			t.Fatalf("encoding is not stable:\n%s\n%s", out, next)
		}
	})
}
