package relay

import (
	"strings"
	"testing"
)

// TestSplitter guards against events that are forwarded incompletely.
func TestSplitter(t *testing.T) {
	const text = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: comment\nid:3\n\nid: 4\nda"
	for _, size := range []int{1, 3, 7, len(text)} {
		var spl eventSplitter
		var ids, raws []string
		for rest := text; rest != ""; {
			num := min(size, len(rest))
			spl.write([]byte(rest[:num]))
			rest = rest[num:]
			for evt, ok := spl.next(); ok; evt, ok = spl.next() {
				ids, raws = append(ids, evt.id), append(raws, string(evt.raw))
			}
		}
		if got := strings.Join(ids, ","); got != "1,2,3" {
			t.Errorf("reads of %d bytes: ids %q, want 1,2,3", size, got)
		}
		if got := strings.Join(raws, ""); got != strings.TrimSuffix(text, "id: 4\nda") {
			t.Errorf("reads of %d bytes: events %q", size, got)
		}
		if !spl.hasPartial() {
			t.Errorf("reads of %d bytes: incomplete last event not detected", size)
		}
	}
}

// FuzzSplitter guards against lost or duplicated bytes for any input.
func FuzzSplitter(f *testing.F) {
	f.Add([]byte("id: 1\n\n\n\r\n"), 2)
	f.Fuzz(func(t *testing.T, data []byte, size int) {
		if size < 1 || size > 1<<10 {
			t.Skip()
		}
		var spl eventSplitter
		var got []byte
		for rest := data; len(rest) > 0; {
			num := min(size, len(rest))
			spl.write(rest[:num])
			rest = rest[num:]
			for evt, ok := spl.next(); ok; evt, ok = spl.next() {
				got = append(got, evt.raw...)
			}
		}
		if !strings.HasPrefix(string(data), string(got)) {
			t.Errorf("events %q are not a prefix of %q", got, data)
		}
	})
}

// TestIsAfter guards against events that are forwarded twice after a resume.
func TestIsAfter(t *testing.T) {
	for _, tst := range []struct {
		id, last string
		want     bool
	}{{"2", "1", true}, {"1", "1", false}, {"9", "10", false}, {"x", "1", true}, {"1", "", true}} {
		if got := isAfter(tst.id, tst.last); got != tst.want {
			t.Errorf("isAfter(%q, %q) = %v", tst.id, tst.last, got)
		}
	}
}
