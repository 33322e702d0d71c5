package crash

import (
	"slices"
	"strings"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// maxParts bounds the parts of a prompt that are considered.
const maxParts = 32

// Parts is a set of parts of prompts.
type Parts []wick.PartID

// includes reports whether the set has all parts of another one.
func (prt Parts) includes(other Parts) bool {
	for _, part := range other {
		if !slices.Contains(prt, part) {
			return false
		}
	}
	return true
}

// intersect returns the parts that both sets have.
func (prt Parts) intersect(other Parts) Parts {
	var out Parts
	for _, part := range prt {
		if slices.Contains(other, part) {
			out = append(out, part)
		}
	}
	return out
}

// without returns the parts that another set does not have.
func (prt Parts) without(other Parts) Parts {
	var out Parts
	for _, part := range prt {
		if !slices.Contains(other, part) {
			out = append(out, part)
		}
	}
	return out
}

// key returns a string that is equal for equal sets.
func (prt Parts) key() string {
	names := make([]string, len(prt))
	for idx, part := range prt {
		names[idx] = string(part)
	}
	slices.Sort(names)
	return strings.Join(names, ",")
}

// A Prompt is a prompt as far as it matters here.
type Prompt struct {
	// Shared holds all parts but the last one. Prompts share them.
	Shared Parts `cbor:"1,keyasint" json:"shared"`
	// Own is the last part, which belongs to the request or its session.
	Own wick.PartID `cbor:"2,keyasint" json:"own"`
}

// NewPrompt returns the prompt with the given parts.
func NewPrompt(parts []wick.PromptPart) Prompt {
	if len(parts) == 0 {
		return Prompt{}
	}
	last := len(parts) - 1
	out := Prompt{Own: parts[last].ID}
	for idx := range parts[:last] {
		if len(out.Shared) < maxParts && !slices.Contains(out.Shared, parts[idx].ID) {
			out.Shared = append(out.Shared, parts[idx].ID)
		}
	}
	return out
}

// equal reports whether two prompts have the same parts in the same order.
func (pro Prompt) equal(other Prompt) bool {
	return pro.Own == other.Own && slices.Equal(pro.Shared, other.Shared)
}
