package relay

import "github.com/wagtailwick/wagtailwick/pkg/wick"

// isStray reports whether a reply may be that of another request. A refusal must carry
// the request's id, since it is a promise that the request has not run. An answer without
// an id is accepted on a connection that no other request has used.
func (req *request) isStray(note wick.ReplyMeta) bool {
	if note.Request == "" && !note.NotExecuted {
		return req.params.ID != "" && !req.ownConnection()
	}
	return note.Request != req.params.ID
}

// ownConnection reports whether the request is sent on a connection of its own: one that
// must not be repeated, or that has no id by which its answer is told from others.
func (req *request) ownConnection() bool {
	return !req.match.Route.Repeatable() || req.params.ID == ""
}
