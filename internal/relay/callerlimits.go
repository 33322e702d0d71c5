package relay

import "time"

const (
	// minIdleTimeout is the least time that a caller's connection stays open between two
	// requests. An entry may not know the newest plan yet.
	minIdleTimeout = 60 * time.Second
	// maxIdleTimeout bounds that of the plan, since idle connections count against the
	// limit of connections.
	maxIdleTimeout = time.Hour
	// maxHeaderTimeout bounds that of the plan for the same reason.
	maxHeaderTimeout = time.Minute
)

// idleTimeout returns how long the plan lets callers leave a connection idle, 0 if it
// doesn't say.
func (srv *Server) idleTimeout() time.Duration {
	if tbl := srv.cfg.Plans.Load(); tbl != nil {
		return min(tbl.Plan.IdleTimeout, maxIdleTimeout)
	}
	return 0
}

// headerTimeout returns how long the plan lets callers take for a header, 0 if it doesn't
// say.
func (srv *Server) headerTimeout() time.Duration {
	if tbl := srv.cfg.Plans.Load(); tbl != nil {
		return min(tbl.Plan.HeaderTimeout, maxHeaderTimeout)
	}
	return 0
}
