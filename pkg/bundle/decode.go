package bundle

import (
	"bytes"
	_ "embed" // the published schema
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"sync"
	"unicode/utf8"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// MaxBytes is the size limit of a bundle document. It reserves space for the
// enclosing submission within the platform's limit for a value.
const MaxBytes = wick.MaxObjectBytes - 4096

// maxDepth limits the nesting of a document. A bundle has four levels.
const maxDepth = 16

// Schema is the published JSON Schema of a bundle.
//
//go:embed bundle.schema.json
var Schema []byte

const schemaURL = "https://wagtailwick.example/bundle.schema.json"

var compileSchema = sync.OnceValues(func() (*jsonschema.Schema, error) {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(Schema))
	if err != nil {
		return nil, err
	}
	com := jsonschema.NewCompiler()
	com.AssertFormat()
	if err := com.AddResource(schemaURL, doc); err != nil {
		return nil, err
	}
	return com.Compile(schemaURL)
})

// Decode decodes a document and runs all checks that need only the document. It
// rejects unknown fields, duplicate keys and trailing data. An error is a
// FaultErrors with every fault found.
func Decode(data []byte) (Bundle, error) {
	var fts FaultErrors
	var bnd Bundle
	if len(data) > MaxBytes {
		addf(&fts, "$", "document has %d bytes, the limit is %d", len(data), MaxBytes)
		return bnd, fts
	}
	if !utf8.Valid(data) {
		addf(&fts, "$", "document is not valid UTF-8")
		return bnd, fts
	}
	if fts = scanKeys(data); len(fts) > 0 {
		return bnd, fts
	}
	if fts = checkSchema(data); len(fts) > 0 {
		// Also report the faults that the schema can't express.
		if json.Unmarshal(data, &bnd) == nil {
			merge(&fts, Check(bnd))
		}
		return Bundle{}, fts
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&bnd); err != nil {
		addf(&fts, "$", "%s", err.Error())
		return Bundle{}, fts
	}
	if err := Check(bnd).err(); err != nil {
		return Bundle{}, err
	}
	return bnd, nil
}

// checkSchema validates a document against the published schema.
func checkSchema(data []byte) FaultErrors {
	var fts FaultErrors
	sch, err := compileSchema()
	if err != nil {
		addf(&fts, "$", "schema: %s", err.Error())
		return fts
	}
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		addf(&fts, "$", "%s", err.Error())
		return fts
	}
	var verr *jsonschema.ValidationError
	if err := sch.Validate(doc); errors.As(err, &verr) {
		collectLeaves(&fts, *verr.DetailedOutput(), doc)
	} else if err != nil {
		addf(&fts, "$", "%s", err.Error())
	}
	return fts
}

// collectLeaves adds the leaves of a schema error to the faults.
func collectLeaves(fts *FaultErrors, unit jsonschema.OutputUnit, doc any) {
	if len(unit.Errors) == 0 && unit.Error != nil {
		path := pathOf(unit.InstanceLocation, doc)
		switch knd := unit.Error.Kind.(type) {
		case *kind.AdditionalProperties:
			for _, name := range knd.Properties {
				addf(fts, path, "unknown field %q", name)
			}
		case *kind.ExclusiveMinimum:
			addf(fts, path, "is %s, must be above %s", knd.Got.RatString(), knd.Want.RatString())
		default:
			addf(fts, path, "%s", unit.Error.String())
		}
	}
	for _, sub := range unit.Errors {
		collectLeaves(fts, sub, doc)
	}
}

// pathOf converts a JSON pointer to a JSON path.
func pathOf(pointer string, doc any) string {
	var sb strings.Builder
	sb.WriteByte('$')
	unescape := strings.NewReplacer("~1", "/", "~0", "~")
	if pointer == "" {
		return "$"
	}
	for tok := range strings.SplitSeq(pointer[1:], "/") {
		tok = unescape.Replace(tok)
		switch val := doc.(type) {
		case []any:
			sb.WriteString("[" + tok + "]")
			if idx, err := strconv.Atoi(tok); err == nil && idx < len(val) {
				doc = val[idx]
			}
		case map[string]any:
			sb.WriteString("." + tok)
			doc = val[tok]
		}
	}
	return sb.String()
}

// scanKeys checks the syntax of a document and finds duplicate keys. Keys that
// differ only in case count as duplicates, because encoding/json decodes both
// into the same field.
func scanKeys(data []byte) FaultErrors {
	var fts FaultErrors
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.UseNumber()
	if err := scanValue(dec, "$", 0, &fts); err != nil {
		addf(&fts, "$", "invalid JSON: %s", err.Error())
		return fts
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		addf(&fts, "$", "data after the document")
	}
	return fts
}

// scanValue scans one value and its descendants.
func scanValue(dec *json.Decoder, path string, depth int, fts *FaultErrors) error {
	if depth > maxDepth {
		return fmt.Errorf("nesting exceeds %d levels at %s", maxDepth, path)
	}
	tok, err := dec.Token()
	if err != nil {
		return err
	}
	switch tok {
	case json.Delim('{'):
		seen := make(map[string]bool)
		for dec.More() {
			tok, err := dec.Token()
			if err != nil {
				return err
			}
			key := fmt.Sprint(tok)
			sub := path + "." + key
			if fold := strings.ToLower(key); seen[fold] {
				addf(fts, sub, "duplicate key")
			} else {
				seen[fold] = true
			}
			if err := scanValue(dec, sub, depth+1, fts); err != nil {
				return err
			}
		}
	case json.Delim('['):
		for idx := 0; dec.More(); idx++ {
			if err := scanValue(dec, path+"["+strconv.Itoa(idx)+"]", depth+1, fts); err != nil {
				return err
			}
		}
	default:
		return nil
	}
	_, err = dec.Token()
	return err
}
