package httpio

import (
	"errors"

	"github.com/cloudwego/hertz/pkg/network"
	"github.com/rotisserie/eris"
)

var errAborted = errors.New("answer aborted")

// An AbortWriter ends a response without the last chunk when it was aborted,
// so that a truncated answer is an error for every HTTP client.
type AbortWriter struct {
	network.ExtWriter
	// Aborted is set before the handler returns.
	Aborted bool
}

// Finalize writes the last chunk unless the response was aborted.
func (abw *AbortWriter) Finalize() error {
	if abw.Aborted {
		return errAborted
	}
	return eris.Wrap(abw.ExtWriter.Finalize(), "httpio")
}
