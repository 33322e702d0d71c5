package front

import (
	"testing"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/sse"

	"github.com/wagtailwick/wagtailwick/internal/stream"
)

// A discardWriter is a response body that discards all data.
type discardWriter struct{}

func (discardWriter) Write(buf []byte) (int, error) { return len(buf), nil }

func (discardWriter) Flush() error { return nil }

func (discardWriter) Finalize() error { return nil }

// BenchmarkEventToken measures the encoding of one token as an event.
func BenchmarkEventToken(b *testing.B) {
	rct := app.NewContext(0)
	rct.Response.HijackWriter(discardWriter{})
	wri := sse.NewWriter(rct)
	rdr := &stream.Reader{}
	var enc encoder
	bat := stream.Batch{Texts: []string{"token"}}
	b.ReportAllocs()
	for b.Loop() {
		if err := enc.send(wri, rdr, &bat); err != nil {
			b.Fatal(err)
		}
	}
}
