package httpio

import (
	"context"
	"errors"
	"net"

	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/rotisserie/eris"
)

// Shutdown stops a server that accepts from lis and waits for its open
// connections until ctx ends. It closes the listener itself, since a server
// whose Run has not begun yet passes over its own shutdown and would accept for
// good afterwards.
func Shutdown(ctx context.Context, srv *server.Hertz, lis net.Listener) error {
	var err error
	if srv.IsRunning() {
		err = srv.Shutdown(ctx)
	}
	if cls := lis.Close(); cls != nil && !errors.Is(cls, net.ErrClosed) {
		err = errors.Join(err, cls)
	}
	return eris.Wrap(err, "httpio: shutdown")
}
