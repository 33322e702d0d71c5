package httpio

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/network/standard"
)

// TestSlowReader guards against a response that is cut although its caller reads all the
// time, because the write timeout counted for all of its bytes.
func TestSlowReader(t *testing.T) {
	const size, step = 16 << 20, 256 << 10
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	lis := &Listener{Listener: raw, Limit: 10, ReadTimeout: time.Second, WriteTimeout: 500 * time.Millisecond}
	srv := server.New(server.WithListener(lis), server.WithTransport(standard.NewTransporter), OnAccept())
	srv.Use(func(_ context.Context, rct *app.RequestContext) {
		rct.SetConnectionClose()
		rct.Response.SetBody(bytes.Repeat([]byte("x"), size))
		rct.Abort()
	})
	go func() { _ = srv.Run() }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		_ = Shutdown(ctx, srv, lis)
	})
	con, err := net.Dial("tcp", raw.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer con.Close()
	fmt.Fprint(con, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	var got int64
	for err == nil {
		var num int64
		num, err = io.CopyN(io.Discard, con, step)
		got += num
		time.Sleep(30 * time.Millisecond) // 8 MiB a second
	}
	if !errors.Is(err, io.EOF) || got < size {
		t.Errorf("%d bytes, %v, want more than %d", got, err, size)
	}
}
