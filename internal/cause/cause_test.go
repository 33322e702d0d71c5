package cause

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/wagtailwick/wagtailwick/internal/logs"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// at returns a time in the format of log lines.
func at(millis int) string {
	return time.Unix(1000, 0).UTC().Add(time.Duration(millis) * time.Millisecond).Format(logs.TimeFormat)
}

// line returns a log line of a process with further fields.
func line(process string, millis int, msg, fields string) string {
	if fields != "" {
		fields = "," + fields
	}
	return fmt.Sprintf("%s {\"time\":%q,\"msg\":%q%s}", process, at(millis), msg, fields)
}

// explain finds the cause of the request "r".
func explain(t *testing.T, text ...string) *Finding {
	t.Helper()
	lines, skipped, err := Read(strings.NewReader(strings.Join(text, "\n")), "log")
	if err != nil || skipped > 0 {
		t.Fatalf("%d lines skipped, error %v", skipped, err)
	}
	fnd, err := Explain(lines, "r")
	if err != nil {
		t.Fatal(err)
	}
	return fnd
}

func assertKind(t *testing.T, fnd *Finding, want Kind) {
	t.Helper()
	if fnd.Kind != want {
		t.Errorf("%s (%s), want %s", fnd.Kind, fnd.Text, want)
	}
}

// TestExplain guards against causes that the log lines do not support.
func TestExplain(t *testing.T) {
	refused := func(reason string) string {
		return line("e1", 500, logs.MsgRefused, `"request":"r","customer":"c","service":"s","reason":"`+reason+`"`)
	}
	failed := line("e1", 500, logs.MsgFailed, `"request":"r","reason":"outcomeUnknown","endpoints":["i-1","i-2"],"sends":2`)
	for _, tst := range []struct {
		name string
		want Kind
		text []string
	}{
		{"answered", Answered, []string{line("e1", 5, logs.MsgAnswered, `"request":"r","status":200`)}},
		{"caller left", CallerLeft, []string{line("e1", 5, logs.MsgCallerLeft, `"request":"r"`)}},
		{"caller aborted a stream", CallerLeft, []string{
			line("e1", 500, logs.MsgCutOff, `"request":"r","reason":"callerLeft","endpoints":["i-1"]`),
		}},
		{"caller aborted after the endpoint was gone", EndpointLeft, []string{
			line("e1", 100, logs.MsgEndpointGone, `"endpoint":"i-1"`),
			line("e1", 500, logs.MsgCutOff, `"request":"r","reason":"callerLeft","endpoints":["i-1"]`),
		}},
		{"quota", QuotaExhausted, []string{refused(logs.ReasonQuota)}},
		{"quota with the reserve unreachable", ReserveUnreachable, []string{line("e1", 480, logs.MsgReserveUnreachable, `"customer":"c","error":"timeout"`), refused(logs.ReasonQuota)}},
		{"reserve unreachable for another customer", QuotaExhausted, []string{line("e1", 480, logs.MsgReserveUnreachable, `"customer":"d"`), refused(logs.ReasonQuota)}},
		{"reserve unreachable at another entry", QuotaExhausted, []string{line("e2", 480, logs.MsgReserveUnreachable, `"customer":"c"`), refused(logs.ReasonQuota)}},
		{"no endpoint", NoEndpoint, []string{refused(logs.ReasonNoEndpoint)}},
		{"no endpoint without the store", StoreUnreachable, []string{line("e1", 100, logs.MsgStoreLost, ""), refused(logs.ReasonNoEndpoint)}},
		{"no endpoint after the store recovered", NoEndpoint, []string{
			line("e1", 100, logs.MsgStoreLost, ""), line("e1", 200, logs.MsgStoreRecovered, ""), refused(logs.ReasonNoEndpoint),
		}},
		{"store lost at another entry", NoEndpoint, []string{line("e2", 100, logs.MsgStoreLost, ""), refused(logs.ReasonNoEndpoint)}},
		{"endpoints full", EndpointsFull, []string{refused(logs.ReasonEndpointsRefused)}},
		{"endpoints limited", EndpointsLimited, []string{refused(logs.ReasonEndpointsLimited)}},
		{"endpoints paused", EndpointsPaused, []string{refused(logs.ReasonEndpointsPaused)}},
		{"prompt blocked", PromptBlocked, []string{refused(logs.ReasonPromptBlocked)}},
		{"expired", EndpointsFull, []string{refused(logs.ReasonExpired)}},
		{"starting", EntryStarting, []string{refused(logs.ReasonNoPlan)}},
		{"plan not confirmed", EntryStarting, []string{refused(logs.ReasonStalePlan)}},
		{"stopping", EntryStopping, []string{refused(logs.ReasonDraining)}},
		{"unknown key", NotAllowed, []string{refused(logs.ReasonNoCustomer)}},
		{"timeout", EndpointTimeout, []string{line("e1", 500, logs.MsgFailed, `"request":"r","reason":"timeout","endpoints":["i-1"]`)}},
		{"connection lost", EndpointLost, []string{line("e1", 400, logs.MsgNoReply, `"request":"r","endpoint":"i-2","error":"reset"`), failed}},
		{"bad reply", BadReply, []string{line("e1", 400, logs.MsgBadReply, `"request":"r","endpoint":"i-2"`), failed}},
		{"endpoint left", EndpointLeft, []string{
			line("e1", 400, logs.MsgNoReply, `"request":"r","endpoint":"i-2"`), failed, line("e1", 600, logs.MsgEndpointGone, `"endpoint":"i-2"`),
		}},
		{"another endpoint left", EndpointLost, []string{
			line("e1", 400, logs.MsgNoReply, `"request":"r","endpoint":"i-2"`), failed, line("e1", 600, logs.MsgEndpointGone, `"endpoint":"i-9"`),
		}},
		{"left long before", EndpointLost, []string{
			line("e1", -16_000, logs.MsgEndpointGone, `"endpoint":"i-2"`), line("e1", 400, logs.MsgNoReply, `"request":"r","endpoint":"i-2","ms":400`), failed,
		}},
		{"no log line of a send", Unfinished, []string{failed}},
		{"no outcome", Unfinished, []string{line("e1", 5, logs.MsgRetried, `"request":"r"`)}},
	} {
		t.Run(tst.name, func(t *testing.T) { assertKind(t, explain(t, tst.text...), tst.want) })
	}
}

// TestSameOutcome guards against a wrong count of requests with the same outcome.
func TestSameOutcome(t *testing.T) {
	one := func(rid, reason string) string {
		return line("e1", 5, logs.MsgRefused, fmt.Sprintf(`"request":%q,"reason":%q`, rid, reason))
	}
	fnd := explain(t, one("a", "quota"), one("r", "quota"), one("b", "quota"), one("c", "noEndpoint"))
	if fnd.SameOutcome != 2 || fnd.Metric != "relay.refused.quota" {
		t.Errorf("%d others in %s, want 2 in relay.refused.quota", fnd.SameOutcome, fnd.Metric)
	}
}

// TestUnknown guards against a finding for a request without log lines.
func TestUnknown(t *testing.T) {
	if _, err := Explain(nil, "r"); !errors.Is(err, wick.ErrNotFound) {
		t.Errorf("error %v, want %v", err, wick.ErrNotFound)
	}
}

// FuzzRead guards against lines of other programs that abort reading.
func FuzzRead(f *testing.F) {
	f.Add(line("e1", 5, logs.MsgRefused, `"request":"r"`) + "\n{\"msg\":7}\n\n{")
	f.Fuzz(func(t *testing.T, text string) {
		lines, _, err := Read(strings.NewReader(text), "log")
		if err != nil {
			t.Skip("a line that is too long")
		}
		for idx := range lines {
			if lines[idx].Message == "" || lines[idx].Process == "" {
				t.Errorf("line %+v has no message or process", lines[idx])
			}
		}
	})
}
