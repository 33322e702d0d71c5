package httpio

import (
	"context"
	"net/http"

	"github.com/cloudwego/hertz/pkg/app"
)

// BodyError returns an error if the chunked body of the current request, which the server has
// read, is malformed or not complete: hertz takes an error of the read behind the last chunk
// for the end of the body. On a nil CallerConn it returns nil.
func (con *CallerConn) BodyError() error {
	switch {
	case con == nil || con.input == nil || !con.input.inChunks:
		return nil
	case con.input.err != nil:
		return con.input.err
	default:
		return errBodyEnd
	}
}

// CheckBody refuses a request with a body for which BodyError returns an error. It is a
// middleware of servers that read bodies before they call handlers.
func CheckBody(ctx context.Context, rct *app.RequestContext) {
	if Caller(ctx).BodyError() != nil {
		rct.SetConnectionClose()
		rct.AbortWithStatus(http.StatusBadRequest)
	}
}
