package httpio

import (
	"bufio"
	"context"
	"encoding/binary"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"
	"unsafe"

	"github.com/cloudwego/hertz/pkg/app"
)

// TestSoftErrorIsNoReset guards against a half-closed caller that gets 502 because a router
// has reported it unreachable for a moment: the kernel keeps the connection, and SO_ERROR
// returns the report as a soft error. The test needs the right to open raw sockets.
func TestSoftErrorIsNoReset(t *testing.T) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_RAW, syscall.IPPROTO_ICMP)
	if err != nil {
		t.Skipf("no raw socket: %v", err)
	}
	defer func() { _ = syscall.Close(fd) }()
	conns := make(chan *CallerConn, 1)
	addr := newCallerServer(t, func(ctx context.Context, rct *app.RequestContext) {
		con, _ := ctx.Value(callerKey{}).(*CallerConn)
		conns <- con
		ctx, endWatch := WatchCaller(ctx, rct)
		defer endWatch()
		rct.SetStatusCode(http.StatusOK)
		select {
		case <-ctx.Done():
			rct.SetStatusCode(http.StatusBadGateway)
		case <-time.After(time.Second):
		}
		rct.Abort()
	})
	con, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer con.Close()
	fmt.Fprint(con, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	if tcp, ok := con.(*net.TCPConn); !ok || tcp.CloseWrite() != nil {
		t.Fatal("the sending side is open")
	}
	caller := <-conns
	time.Sleep(100 * time.Millisecond)
	if err := syscall.Sendto(fd, unreachable(t, caller.lim.Conn), 0, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	rdr := bufio.NewReader(con)
	for {
		res, err := http.ReadResponse(rdr, nil)
		if err != nil {
			t.Fatal(err)
		}
		res.Body.Close()
		if res.StatusCode >= http.StatusOK {
			if res.StatusCode != http.StatusOK {
				t.Errorf("status %d", res.StatusCode)
			}
			return
		}
	}
}

// unreachable returns an ICMP message that the peer's host is unreachable.
func unreachable(t *testing.T, con net.Conn) []byte {
	t.Helper()
	const (
		tcpRepair, tcpRepairQueue, tcpQueueSeq = 19, 20, 21
		sendQueue, repairOff                   = 2, -1
	)
	sys, _ := con.(syscall.Conn)
	raw, err := sys.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var seq uint32
	size := uint32(unsafe.Sizeof(seq))
	var repairErr, queueErr error
	err = raw.Control(func(fd uintptr) {
		if repairErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpRepair, 1); repairErr != nil {
			return
		}
		queueErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpRepairQueue, sendQueue)
		_, _, _ = syscall.Syscall6(syscall.SYS_GETSOCKOPT, fd, syscall.IPPROTO_TCP, tcpQueueSeq,
			uintptr(unsafe.Pointer(&seq)), uintptr(unsafe.Pointer(&size)), 0)
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpRepair, repairOff)
	})
	if err != nil || repairErr != nil || queueErr != nil {
		t.Skip("no right to read the sequence number", err, repairErr, queueErr)
	}
	loc, _ := con.LocalAddr().(*net.TCPAddr)
	rem, _ := con.RemoteAddr().(*net.TCPAddr)
	pkt := make([]byte, 8+20+20)
	pkt[0], pkt[1] = 3, 1 // destination unreachable: host
	iph := pkt[8:28]
	iph[0], iph[3], iph[8], iph[9] = 0x45, 40, 64, syscall.IPPROTO_TCP
	copy(iph[12:], loc.IP.To4())
	copy(iph[16:], rem.IP.To4())
	tcp := pkt[28:]
	binary.BigEndian.PutUint16(tcp, uint16(loc.Port))
	binary.BigEndian.PutUint16(tcp[2:], uint16(rem.Port))
	binary.BigEndian.PutUint32(tcp[4:], seq)
	tcp[12], tcp[13] = 0x50, 0x10
	var sum uint32
	for idx := 0; idx < len(pkt); idx += 2 {
		sum += uint32(binary.BigEndian.Uint16(pkt[idx:]))
	}
	sum = sum>>16 + sum&0xffff
	binary.BigEndian.PutUint16(pkt[2:], ^uint16(sum+sum>>16))
	return pkt
}
