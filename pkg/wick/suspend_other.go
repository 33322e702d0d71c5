//go:build !linux

package wick

import "time"

// bootOffset returns 0, since the platform does not report its suspension.
func bootOffset(bool) time.Duration { return 0 }
