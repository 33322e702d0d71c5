package httpio

import (
	"errors"

	"github.com/cloudwego/hertz/pkg/network"
	"github.com/rotisserie/eris"
)

var errAborted = errors.New("response aborted")

// An AbortWriter omits the last chunk of an aborted response, so that every HTTP
// client reports a truncated response as an error.
type AbortWriter struct {
	network.ExtWriter
	// Aborted must be set before the handler returns.
	Aborted bool
}

// Finalize writes the last chunk unless the response was aborted.
func (abw *AbortWriter) Finalize() error {
	if abw.Aborted {
		return errAborted
	}
	return eris.Wrap(abw.ExtWriter.Finalize(), "httpio")
}
