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
// doesn't set it.
func (srv *Server) idleTimeout() time.Duration {
	if tbl := srv.cfg.Plans.Load(); tbl != nil {
		return min(tbl.Plan.IdleTimeout, maxIdleTimeout)
	}
	return 0
}

// headLimit returns the plan's limit of the bytes of a request's head, 0 if it doesn't set one.
func (srv *Server) headLimit() int {
	if tbl := srv.cfg.Plans.Load(); tbl != nil {
		return tbl.Plan.MaxHeaderBytes
	}
	return 0
}

// connectionLimit returns the most open connections that callers may have: those that
// MaxConnections and the share of the memory for connections allow.
func (cfg *Config) connectionLimit() int64 {
	num := int64(cfg.MaxConnections)
	if cfg.Memory > 0 {
		num = max(min(num, int64(float64(cfg.Memory)*connShare)/connBytes), 1)
	}
	return num
}

// headerTimeout returns how long the plan lets callers take for a header, 0 if it doesn't
// set it.
func (srv *Server) headerTimeout() time.Duration {
	if tbl := srv.cfg.Plans.Load(); tbl != nil {
		return min(tbl.Plan.HeaderTimeout, maxHeaderTimeout)
	}
	return 0
}
