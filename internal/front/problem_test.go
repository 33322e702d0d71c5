package front

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/rotisserie/eris"

	"github.com/wagtailwick/wagtailwick/internal/stream"
)

// Guards against refusals that the callers' documentation lacks.
func TestProblemsAreDocumented(t *testing.T) {
	doc, err := os.ReadFile("../../docs/problems.md")
	if err != nil {
		t.Fatal(err)
	}
	seen := make(map[string]bool)
	for _, knd := range kinds {
		row := fmt.Sprintf("| `%s` | %d | %s |", knd.name, knd.status, knd.title)
		if !strings.Contains(string(doc), row) {
			t.Errorf("docs/problems.md lacks the row\n%s", row)
		}
		if seen[knd.name] {
			t.Errorf("%s is listed twice", knd.name)
		}
		seen[knd.name] = true
	}
}

// Guards against a refusal that claims "not executed" without proof.
func TestProblemOf(t *testing.T) {
	for _, knd := range kinds {
		if knd.err == nil {
			continue
		}
		for _, executed := range []stream.Executed{stream.ExecutedNo, stream.ExecutedUnknown} {
			prb := problemOf(&stream.FailError{Err: eris.Wrap(knd.err, "wrapped"), Executed: executed})
			if prb.Type != typePrefix+knd.name || prb.Executed != executed {
				t.Errorf("%s: got %+v", knd.name, prb)
			}
		}
		if prb := problemOf(knd.err); prb.Executed != stream.ExecutedUnknown {
			t.Errorf("%s without a proof: executed %q", knd.name, prb.Executed)
		}
	}
}
