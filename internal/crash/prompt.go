package crash

import (
	"slices"
	"strconv"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// A Prompt is a prompt as far as it matters here.
type Prompt struct {
	// Shared holds all parts but the last one. Prompts share them. If Digest is set, it is a
	// sample of them.
	Shared Parts `cbor:"1,keyasint" json:"shared"`
	// Own is the last part, which belongs to the request or its session. It is "" if the
	// prompt stands for several ones.
	Own wick.PartID `cbor:"2,keyasint" json:"own"`
	// Digest has all shared parts, if they are more than maxListed, of a prompt that another
	// entry sent, or those of several prompts.
	Digest Digest `cbor:"3,keyasint,omitempty" json:"-"`

	// sampled is the sample of Shared once the prompt is kept as evidence.
	sampled Parts
}

// listed returns at most maxListed of the shared parts, which are the same for each copy of
// the prompt.
func (pro *Prompt) listed() Parts {
	if pro.sampled != nil {
		return pro.sampled
	}
	return pro.Shared.sample()
}

// NewPrompt returns the prompt with the given parts.
func NewPrompt(parts []wick.PromptPart) Prompt {
	if len(parts) == 0 {
		return Prompt{}
	}
	last := len(parts) - 1
	out := Prompt{Own: shortID(parts[last].ID)}
	if last > maxListed {
		out.Shared = make(Parts, last)
		for idx := range out.Shared {
			out.Shared[idx] = shortID(parts[idx].ID)
		}
		slices.Sort(out.Shared)
		out.Shared = slices.Compact(out.Shared)
		return out
	}
	for idx := range parts[:last] {
		if part := shortID(parts[idx].ID); !slices.Contains(out.Shared, part) {
			out.Shared = append(out.Shared, part)
		}
	}
	return out
}

// maxIDBytes is the length of an id up to which it is kept as it is.
const maxIDBytes = 32

// shortID returns the id of a part, or the same hash at all entries if it is long.
func shortID(part wick.PartID) wick.PartID {
	if len(part) <= maxIDBytes {
		return part
	}
	return wick.PartID("#" + strconv.FormatUint(uint64(hashPart(part)), 16))
}

// equal reports whether two prompts have the same parts in the same order.
func (pro *Prompt) equal(other *Prompt) bool {
	return pro.Own == other.Own && slices.Equal(pro.Shared, other.Shared)
}

// isEmpty reports whether the prompt has no shared parts.
func (pro *Prompt) isEmpty() bool { return len(pro.Shared) == 0 && len(pro.Digest) == 0 }

// has reports whether the prompt has a shared part.
func (pro *Prompt) has(part wick.PartID) bool { return pro.Shared.has(part) || pro.Digest.has(part) }

// hasAll reports whether the prompt has all of some shared parts.
func (pro *Prompt) hasAll(set Parts) bool {
	return !slices.ContainsFunc(set, func(part wick.PartID) bool { return !pro.has(part) })
}

// brief returns the prompt in a form of a bounded size. A long one is given by a sample of its
// parts and a digest of all.
func (pro *Prompt) brief() Prompt {
	if len(pro.Shared) <= maxListed {
		return *pro
	}
	return Prompt{Shared: pro.listed(), Own: pro.Own, Digest: newDigest(pro.Shared)}
}
