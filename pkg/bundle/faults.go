package bundle

import (
	"fmt"
	"strings"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// A Fault is one reason why a document is not a valid bundle.
type Fault struct {
	// Path is the JSON path of the faulty value, such as "$.moves[0].to".
	Path    string `json:"path"`
	Message string `json:"message"`
}

// FaultErrors are all faults of a document. The error matches wick.ErrInvalid.
type FaultErrors []Fault

// Error lists the faults, one after the other.
func (fts FaultErrors) Error() string {
	var sb strings.Builder
	sb.WriteString("bundle invalid")
	for idx, fau := range fts {
		sep := "; "
		if idx == 0 {
			sep = ": "
		}
		sb.WriteString(sep + fau.Path + ": " + fau.Message)
	}
	return sb.String()
}

// Is reports whether target is wick.ErrInvalid.
func (fts FaultErrors) Is(target error) bool { return target == wick.ErrInvalid }

// err returns the faults as an error, or nil if there are none.
func (fts FaultErrors) err() error {
	if len(fts) == 0 {
		return nil
	}
	return fts
}

func addf(fts *FaultErrors, path, format string, args ...any) {
	*fts = append(*fts, Fault{Path: path, Message: fmt.Sprintf(format, args...)})
}

// merge appends the faults of other whose paths have no fault in fts.
func merge(fts *FaultErrors, other FaultErrors) {
	seen := make(map[string]bool, len(*fts))
	for _, fau := range *fts {
		seen[fau.Path] = true
	}
	for _, fau := range other {
		if !seen[fau.Path] {
			*fts = append(*fts, fau)
		}
	}
}
