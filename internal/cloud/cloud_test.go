package cloud_test

import (
	"testing"

	"github.com/wagtailwick/wagtailwick/internal/cloud"
	"github.com/wagtailwick/wagtailwick/internal/fake"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// TestList guards against transferring an unchanged list again, and against a
// stale list after a change.
func TestList(t *testing.T) {
	cld := &fake.Cloud{}
	cld.RegisterAll([]wick.VM{{ID: "a"}, {ID: "b"}})
	srv, err := fake.ServeCloud("127.0.0.1:0", cld)
	if err != nil {
		t.Fatal(err)
	}
	defer srv.Close()
	cli := &cloud.Client{URL: "http://" + srv.Addr()}
	defer cli.HTTP.Close()
	read := func(want int) []wick.VM {
		t.Helper()
		vms, err := cli.VMs(t.Context())
		if err != nil || len(vms) != want {
			t.Fatalf("got %v, %v, want %d VMs", vms, err, want)
		}
		return vms
	}
	first := read(2)
	if again := read(2); &again[0] != &first[0] {
		t.Error("an unchanged list was transferred again")
	}
	cld.Remove("b")
	read(1)
	cld.Register(wick.VM{ID: "b"})
	read(2)
}
