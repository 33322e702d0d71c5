package netem

import (
	"io"
	"net"
	"testing"
	"time"
)

// TestProxy guards against faults that are not injected, which would make the
// soak test meaningless.
func TestProxy(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer lis.Close()
	go func() {
		for {
			con, err := lis.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(con, con) }()
		}
	}()
	prx, err := New(lis.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer prx.Close()
	echo := func(con net.Conn) error {
		_ = con.SetDeadline(time.Now().Add(200 * time.Millisecond))
		if _, err := con.Write([]byte("x")); err != nil {
			return err
		}
		_, err := io.ReadFull(con, make([]byte, 1))
		return err
	}
	for _, tst := range []struct {
		name    string
		flt     Fault
		ok      bool
		minTime time.Duration
	}{
		{"none", Fault{}, true, 0},
		{"refused", Fault{Refuse: true}, false, 0},
		{"data to the server dropped", Fault{DropToServer: true}, false, 0},
		{"data to the client dropped", Fault{DropToClient: true}, false, 0},
		{"delayed", Fault{Delay: 20 * time.Millisecond}, true, 40 * time.Millisecond},
	} {
		t.Run(tst.name, func(t *testing.T) {
			prx.SetFault(tst.flt)
			began := time.Now()
			con, err := net.Dial("tcp", prx.Addr())
			if err == nil {
				defer con.Close()
				err = echo(con)
			}
			if (err == nil) != tst.ok {
				t.Errorf("error %v", err)
			}
			if took := time.Since(began); took < tst.minTime {
				t.Errorf("took %v, want at least %v", took, tst.minTime)
			}
		})
	}
	t.Run("reset", func(t *testing.T) {
		prx.SetFault(Fault{})
		con, err := net.Dial("tcp", prx.Addr())
		if err != nil {
			t.Fatal(err)
		}
		defer con.Close()
		if err := echo(con); err != nil {
			t.Fatal(err)
		}
		prx.Reset()
		if err := echo(con); err == nil {
			t.Error("the connection still works after a reset")
		}
	})
}
