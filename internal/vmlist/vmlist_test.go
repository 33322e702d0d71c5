package vmlist

import (
	"context"
	"fmt"
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// pull sends one pull of reader to source and applies the reply.
func pull(t rapid.TB, reader, source *List) Changes {
	t.Helper()
	body, err := cbor.Marshal(reader.NextPull())
	if err != nil {
		t.Fatal(err)
	}
	rep, err := source.Handle(context.Background(), "reader", body)
	if err != nil {
		t.Fatal(err)
	}
	chg, ok := rep.(Changes)
	if !ok {
		t.Fatalf("reply is a %T", rep)
	}
	reader.Apply(chg)
	return chg
}

func assertSame(t rapid.TB, reader, source *List) {
	t.Helper()
	if got, want := reader.VMs(), source.VMs(); !reflect.DeepEqual(got, want) {
		t.Fatalf("reader has %v, source has %v", got, want)
	}
}

func makeVMs(num int, version wick.ModelVersion) []wick.VM {
	vms := make([]wick.VM, num)
	for idx := range vms {
		vms[idx] = wick.VM{ID: wick.VMID(fmt.Sprintf("vm%05d", idx)), Versions: []wick.ModelVersion{version}, State: wick.VMLive}
	}
	return vms
}

// TestRandomChanges guards against a reader that misses a change or keeps a
// removed VM, also when it switches to another source.
func TestRandomChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sources := []*List{New("a", 1), New("b", 1)}
		reader := New("c", 1)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			src := sources[rapid.IntRange(0, 1).Draw(t, "source")]
			vms := makeVMs(rapid.IntRange(1, 8).Draw(t, "count"), wick.ModelVersion(rapid.StringMatching("v[12]").Draw(t, "version")))
			from := rapid.IntRange(0, len(vms)-1).Draw(t, "from")
			src.Set(vms[from:])
			pull(t, reader, src)
			assertSame(t, reader, src)
		}
	})
}

// TestPages guards against a partial list that is visible to readers and
// against losing a change made between two pages.
func TestPages(t *testing.T) {
	source, reader := New("a", 1), New("b", 1)
	source.Set(makeVMs(2*maxChanges+10, "v1"))
	if chg := pull(t, reader, source); !chg.More {
		t.Fatal("first page contains the whole list")
	}
	if num := len(reader.VMs()); num != 0 {
		t.Fatalf("reader returns %d VMs of a partial list", num)
	}
	source.Set(makeVMs(2*maxChanges+5, "v1")[3:])
	for range 3 {
		pull(t, reader, source)
	}
	assertSame(t, reader, source)
}

// TestUnchanged guards against transferring VMs while nothing changes.
func TestUnchanged(t *testing.T) {
	source, reader := New("a", 1), New("b", 1)
	source.Set(makeVMs(500, "v1"))
	pull(t, reader, source)
	if chg := pull(t, reader, source); len(chg.VMs)+len(chg.Removed) != 0 {
		t.Errorf("second pull returned %d VMs", len(chg.VMs))
	}
}

// TestSameSlice guards against treating a list as unchanged although a pull has
// changed it since.
func TestSameSlice(t *testing.T) {
	lst, src := New("a", 1), New("b", 1)
	vms := makeVMs(3, "v1")
	if !lst.Set(vms) || lst.Set(vms) {
		t.Error("only the first Set must report a change")
	}
	seq := lst.Seq()
	src.Set(makeVMs(2, "v1"))
	pull(t, lst, src)
	if len(lst.VMs()) != 2 || lst.Seq() == seq {
		t.Errorf("got %v, want the source's list", lst.VMs())
	}
	if !lst.Set(vms) || len(lst.VMs()) != 3 {
		t.Errorf("got %v, want the list passed to Set", lst.VMs())
	}
}
