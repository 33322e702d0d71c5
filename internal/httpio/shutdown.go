package httpio

import (
	"context"
	"errors"
	"net"

	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/rotisserie/eris"
)

// Shutdown stops a server that accepts from lis and waits for its open
// connections until ctx ends. Idle ones are closed before, so that no request is read that
// can't be answered any more. It closes the listener itself, since a server
// that is not running yet ignores Shutdown and would accept connections forever
// once Run is called.
func Shutdown(ctx context.Context, srv *server.Hertz, lis net.Listener) error {
	var err error
	if own, ok := lis.(*Listener); ok {
		defer own.closeIdleWithin(ctx)()
	}
	if srv.IsRunning() {
		err = srv.Shutdown(ctx)
	}
	if closeErr := lis.Close(); closeErr != nil && !errors.Is(closeErr, net.ErrClosed) {
		err = errors.Join(err, closeErr)
	}
	return eris.Wrap(err, "httpio: shutdown")
}
