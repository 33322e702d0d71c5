package stream

import (
	"errors"

	"github.com/wagtailwick/wagtailwick/internal/invar"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// A phase is how far an attempt got at its endpoint.
type phase uint8

const (
	// phaseNotSent: no byte of the attempt reached the endpoint.
	phaseNotSent phase = iota
	// phaseMaybeRan: the attempt was sent and may have run.
	phaseMaybeRan
	// phaseRejected: the endpoint reported that it did not run the attempt.
	phaseRejected
)

// An attempts counts the attempts of a request by phase.
type attempts struct {
	// maybeRan counts attempts that were sent and not rejected.
	maybeRan int
	// total counts all attempts.
	total int
}

// begin counts an attempt as sent. From here on the endpoint's client owns the
// attempt, so it counts as sent until settle corrects it.
func (ats *attempts) begin() {
	ats.total++
	ats.maybeRan++
}

// settle corrects the phase of the attempt that begin counted.
func (ats *attempts) settle(pha phase) {
	if pha != phaseMaybeRan {
		ats.maybeRan--
	}
}

// phaseOf returns the phase of an attempt that ended with err. A rejection
// counts only if rejections by the endpoint's class are trusted and no part of
// an answer arrived.
func phaseOf(err error, trusted, answered bool) phase {
	switch {
	case answered:
		return phaseMaybeRan
	case errors.Is(err, wick.ErrNotSent):
		return phaseNotSent
	case trusted && errors.Is(err, wick.ErrNotExecuted):
		return phaseRejected
	}
	return phaseMaybeRan
}

// phaseOf returns the phase of an attempt at vm, given whether the table trusts
// the VM's rejections.
func (tab *Table) phaseOf(vm wick.VM, err error, answered bool) phase {
	if tab.disabled.phases && err != nil {
		return phaseNotSent
	}
	return phaseOf(err, tab.trustsRejections(vm), answered)
}

// failure returns the explicit failure of a request with these attempts.
func (ats *attempts) failure(chk *invar.Checker, err error) *FailError {
	fai := refusal(err)
	if ats.maybeRan > 0 {
		fai.Executed = ExecutedUnknown
	}
	checkExecuted(chk, fai, ats)
	return fai
}

// checkExecuted asserts that a failure is reported as not executed only if no
// attempt can have run.
func checkExecuted(chk *invar.Checker, fai *FailError, ats *attempts) {
	chk.Check(fai.Executed != ExecutedNo || ats.maybeRan == 0, invar.RefusalTruth,
		"failure reports no execution with %d of %d attempts sent: %v", ats.maybeRan, ats.total, fai.Err)
}
