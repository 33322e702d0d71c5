package httpio

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"runtime/debug"

	"github.com/cloudwego/hertz/pkg/network"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/wagtailwick/wagtailwick/internal/frame"
	"github.com/wagtailwick/wagtailwick/internal/logs"
)

var (
	errPanic = errors.New("panic on a connection")
	// errTrailerName reports a head that announces a trailer without a name.
	errTrailerName = fmt.Errorf("%w: trailer without a name", frame.ErrMalformed)
)

// serve serves the requests of the connection. A panic of the server ends the connection, not
// the process.
func (icn *inputConn) serve(ctx context.Context, next network.OnData) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			metrics.GetOrRegisterCounter("front.panics", nil).Inc(1)
			log.WithFields(logrus.Fields{logs.FieldError: fmt.Sprint(cause), "stack": string(debug.Stack())}).Error("httpio: panic on a connection")
			_ = icn.Close() // the connection is given up
			err = errPanic
		}
	}()
	return next(ctx, icn)
}

// checkTrailerNames checks the names in the field Trailer of a well-formed head. hertz's
// parser panics on an empty one.
func checkTrailerNames(head []byte) error {
	for line := range bytes.SplitSeq(head, []byte("\r\n")) {
		name, value, _ := bytes.Cut(line, []byte(":"))
		if value = bytes.TrimSpace(value); len(value) == 0 || !bytes.EqualFold(name, []byte("Trailer")) {
			continue
		}
		for part := range bytes.SplitSeq(value, []byte(",")) {
			if len(bytes.TrimSpace(part)) == 0 {
				return errTrailerName
			}
		}
	}
	return nil
}
