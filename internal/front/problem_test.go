package front

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/rotisserie/eris"

	"github.com/wagtailwick/wagtailwick/internal/stream"
)

// Guards against problem types that docs/problems.md does not document.
func TestProblemsAreDocumented(t *testing.T) {
	doc, err := os.ReadFile("../../docs/problems.md")
	if err != nil {
		t.Fatal(err)
	}
	seen := make(map[string]bool)
	for _, pty := range problemTypes {
		row := fmt.Sprintf("| `%s` | %d | %s |", pty.name, pty.status, pty.title)
		if !strings.Contains(string(doc), row) {
			t.Errorf("docs/problems.md does not contain the row\n%s", row)
		}
		if seen[pty.name] {
			t.Errorf("%s is listed twice", pty.name)
		}
		seen[pty.name] = true
	}
}

// Guards against a problem that claims "executed":"no" for an error that does not
// prove it.
func TestProblemOf(t *testing.T) {
	for _, pty := range problemTypes {
		if pty.err == nil {
			continue
		}
		for _, executed := range []stream.Executed{stream.ExecutedNo, stream.ExecutedUnknown} {
			prb := problemOf(&stream.FailError{Err: eris.Wrap(pty.err, "wrapped"), Executed: executed})
			if prb.Type != typePrefix+pty.name || prb.Executed != executed {
				t.Errorf("%s: got %+v", pty.name, prb)
			}
		}
		if prb := problemOf(pty.err); prb.Executed != stream.ExecutedUnknown {
			t.Errorf("%s without a FailError: executed %q", pty.name, prb.Executed)
		}
	}
}
