package admin

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/wagtailwick/wagtailwick/internal/ports"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// TestQuery guards against queries whose faults end the process or look like answers.
func TestQuery(t *testing.T) {
	addr, err := ports.Addr()
	if err != nil {
		t.Fatal(err)
	}
	var srv Server
	srv.AddQuery("/ask", func(body []byte) (any, error) {
		switch string(body) {
		case "invalid":
			return nil, wick.ErrInvalid
		case "panic":
			panic("fault")
		}
		return len(body), nil
	})
	if err := srv.Start(addr); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = srv.Stop(t.Context()) }()
	for _, tst := range []struct {
		body   string
		status int
	}{{"panic", 500}, {"invalid", 400}, {strings.Repeat("x", maxQueryBytes+1), 413}, {"four", 200}} {
		res, err := http.Post("http://"+addr+"/ask", "text/plain", strings.NewReader(tst.body))
		if err != nil {
			t.Fatal(err)
		}
		res.Body.Close()
		if res.StatusCode != tst.status {
			t.Errorf("%.9s: status %d, want %d", tst.body, res.StatusCode, tst.status)
		}
	}
}

// TestSmuggledQuery guards against a query in the body of another one that is answered as one
// of its own, because the length of the first is given twice.
func TestSmuggledQuery(t *testing.T) {
	addr, err := ports.Addr()
	if err != nil {
		t.Fatal(err)
	}
	var srv Server
	var ran atomic.Int64
	srv.AddQuery("/ask", func([]byte) (any, error) { return ran.Add(1), nil })
	if err := srv.Start(addr); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = srv.Stop(t.Context()) }()
	con, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer con.Close()
	const inner = "POST /ask HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"
	fmt.Fprintf(con, "POST /ask HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\nContent-Length: 0\r\n\r\n%s", len(inner), inner)
	_ = con.SetReadDeadline(time.Now().Add(time.Second))
	answer, err := io.ReadAll(con)
	if ran.Load() != 0 || !strings.HasPrefix(string(answer), "HTTP/1.1 400 ") || err != nil {
		t.Errorf("%d queries ran, answer %q, then %v", ran.Load(), answer, err)
	}
}

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
