package recent

import (
	"strconv"
	"testing"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// TestParts guards against parts in use that are forgotten together with those that are not,
// once there are more than the limit.
func TestParts(t *testing.T) {
	const limit = 100
	prt := Parts{Limit: limit}
	begin := time.Unix(1000, 0)
	for num := range 10 * limit {
		at := begin.Add(time.Duration(num) * time.Second)
		if num%10 == 0 {
			prt.Put("used", at)
		}
		prt.Put(wick.PartID(strconv.Itoa(num)), at)
		if _, ok := prt.At("used"); !ok {
			t.Fatalf("the part in use is forgotten after %d others", num)
		}
		for back := range min(num+1, limit/2) {
			if got, ok := prt.At(wick.PartID(strconv.Itoa(num - back))); !ok || got != begin.Add(time.Duration(num-back)*time.Second) {
				t.Fatalf("after %d parts the one %d before the last has time %v, %t", num, back, got, ok)
			}
		}
		if prt.Len() > limit {
			t.Fatalf("%d parts", prt.Len())
		}
	}
	if prt.Forgotten() == 0 {
		t.Error("no part counts as forgotten")
	}
}
