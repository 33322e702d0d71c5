package admin

import (
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
)

// TestExposition guards against metric lines that scrapers can't parse.
func TestExposition(t *testing.T) {
	reg := metrics.NewRegistry()
	metrics.GetOrRegisterCounter("route.picks", reg).Inc(3)
	metrics.GetOrRegisterGauge("entry.in-flight", reg).Update(7)
	metrics.GetOrRegisterTimer("front.firstToken", reg).Update(250 * time.Millisecond)
	text := string(Exposition(reg))
	for _, want := range []string{
		"# TYPE wagtailwick_route_picks counter\nwagtailwick_route_picks 3\n",
		"# TYPE wagtailwick_entry_in_flight gauge\nwagtailwick_entry_in_flight 7\n",
		"wagtailwick_front_firstToken_seconds{quantile=\"0.5\"} 0.25\n",
		"wagtailwick_front_firstToken_seconds_count 1\n",
	} {
		t.Run(strings.Fields(want)[0], func(t *testing.T) {
			if !strings.Contains(text, want) {
				t.Errorf("missing %q in:\n%s", want, text)
			}
		})
	}
}
