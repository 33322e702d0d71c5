package cmds

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rotisserie/eris"

	"github.com/wagtailwick/wagtailwick/internal/edge"
	"github.com/wagtailwick/wagtailwick/internal/pool"
	"github.com/wagtailwick/wagtailwick/internal/relay"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// whereFlags are the flags of the command where.
type whereFlags struct {
	admin, host, path, key, customer string
	input, output, hint              int64
	parts, tried                     []string
	deadline                         time.Duration
	json                             bool
	limit                            int
}

func whereCommand(app *kingpin.Application, ev *env) (string, func() error) {
	cmd := app.Command("where", "Show to which endpoint an entry of the edge would send a request now, and why, without sending it.\n\n"+
		"Example: wagtailwick where --admin 127.0.0.1:9101 --host api.example --path /v1/chat/ --customer acme "+
		"--input 900 --output 200 --part system:800 --part own:100")
	var flg whereFlags
	flg.register(cmd)
	return cmd.FullCommand(), func() error { return flg.run(ev.stdout) }
}

// register declares the flags.
func (flg *whereFlags) register(cmd *kingpin.CmdClause) {
	cmd.Flag("admin", "Admin address of the entry, host:port.").Required().StringVar(&flg.admin)
	cmd.Flag("host", "Host of the request.").Required().StringVar(&flg.host)
	cmd.Flag("path", "Path of the request.").Default("/").StringVar(&flg.path)
	cmd.Flag("key", "Key of the caller. Other users of the machine can read arguments, but not the environment.").
		Envar("WAGTAILWICK_CALLER_KEY").StringVar(&flg.key)
	cmd.Flag("customer", "Name of the customer, in place of a key.").StringVar(&flg.customer)
	cmd.Flag("input", "Tokens of the prompt.").Int64Var(&flg.input)
	cmd.Flag("output", "Most tokens of the answer.").Int64Var(&flg.output)
	cmd.Flag("hint", "Tokens of the answer as the caller estimates them.").Int64Var(&flg.hint)
	cmd.Flag("part", "Part of the prompt as ID:TOKENS, in order. Requests without parts are plain ones.").StringsVar(&flg.parts)
	cmd.Flag("tried", "Endpoint that the request was already sent to.").StringsVar(&flg.tried)
	cmd.Flag("deadline", "Timeout of the caller, if it sets one.").DurationVar(&flg.deadline)
	cmd.Flag("json", "Print the answer as JSON.").BoolVar(&flg.json)
	cmd.Flag("limit", "Most endpoints to list for each service in the text.").Default("20").IntVar(&flg.limit)
}

// run sends the request of the flags to the entry and prints the answer.
func (flg *whereFlags) run(out io.Writer) error {
	ask, err := flg.request()
	if err != nil {
		return err
	}
	body, err := json.Marshal(ask)
	if err != nil {
		return eris.Wrap(err, "encode question")
	}
	body, err = post("http://"+flg.admin+edge.WherePath, body)
	if err != nil {
		return err
	}
	if flg.json {
		_, err := out.Write(body)
		return eris.Wrap(err, "print answer")
	}
	var ans edge.WhereAnswer
	if err := json.Unmarshal(body, &ans); err != nil {
		return eris.Wrap(err, "decode answer")
	}
	return printWhere(out, &ans, flg.limit)
}

// request returns the request that the flags describe.
func (flg *whereFlags) request() (relay.Ask, error) {
	out := relay.Ask{
		Host: flg.host, Path: flg.path, Key: wick.CallerKey(flg.key), Customer: wick.Customer(flg.customer),
		InputTokens: wick.Tokens(flg.input), OutputTokens: wick.Tokens(flg.output), LengthHint: wick.Tokens(flg.hint),
		DeadlineMillis: flg.deadline.Milliseconds(),
	}
	for _, text := range flg.parts {
		at := strings.LastIndex(text, ":")
		if at < 0 {
			return out, eris.Errorf("part %q is not ID:TOKENS", text)
		}
		tokens, err := strconv.ParseUint(text[at+1:], 10, 31)
		if err != nil {
			return out, eris.Wrapf(err, "tokens of part %q", text)
		}
		out.Parts = append(out.Parts, relay.AskPart{ID: wick.PartID(text[:at]), Tokens: wick.Tokens(tokens)})
	}
	for _, vid := range flg.tried {
		out.Tried = append(out.Tried, wick.VMID(vid))
	}
	return out, nil
}

// printWhere prints an answer as text, with at most limit endpoints of each service.
func printWhere(out io.Writer, ans *edge.WhereAnswer, limit int) error {
	prn := &printer{out: out}
	prn.printf("entry %s in zone %s\n", ans.Entry, ans.Zone)
	if ans.Route != "" {
		prn.printf("route %s (%s, plan %d), customer %s, rank %d, deadline %d ms, at most %d ms of waiting for a turn\n",
			ans.Route, ans.Kind, ans.Plan, orNone(string(ans.Customer)), ans.Rank, ans.DeadlineMillis, ans.MaxWaitMillis)
	}
	if len(ans.RouteRegions)+len(ans.CustomerRegions) > 0 {
		prn.printf("regions: route %v, customer %v (empty: all)\n", ans.RouteRegions, ans.CustomerRegions)
	}
	if quo := ans.Quota; quo != nil {
		prn.printf("quota: costs %g units, %.1f left at this entry (rate %g a second, burst %g); the rest comes from the reserve\n",
			quo.Cost, quo.Left, quo.Rate, quo.Burst)
	}
	if ans.Expected.Source != "" {
		prn.printf("expected output: %d tokens (%s)\n", ans.Expected.OutputTokens, ans.Expected.Source)
	}
	if lrn := ans.Expected.Learned; lrn != nil {
		prn.printf("learned from %d requests: mean %.1f, 0.9 quantile %.1f\n", lrn.Samples, lrn.Mean, lrn.High)
	}
	if ans.Trial {
		prn.printf("the prompt would be let through as the trial of a block\n")
	}
	if ans.Refusal != "" {
		prn.printf("refused: %s\n", describeRefusal(ans.Refusal, ans.RetryAfterMillis))
	}
	for idx := range ans.Placements {
		prn.placement(&ans.Placements[idx], limit)
	}
	return prn.err
}

func describeRefusal(reason string, retryAfterMillis int64) string {
	if retryAfterMillis <= 0 {
		return reason
	}
	return fmt.Sprintf("%s, retry after %d ms", reason, retryAfterMillis)
}

func orNone(text string) string {
	if text == "" {
		return "none"
	}
	return text
}

// placement prints the choice for one service, with at most limit endpoints.
func (prn *printer) placement(plc *relay.Placement, limit int) {
	prn.printf("\nservice %s, share %.3f", plc.Service, plc.Share)
	if plc.OnlyVersion != "" {
		prn.printf(", only version %s", plc.OnlyVersion)
	}
	if len(plc.ExceptVersions) > 0 {
		prn.printf(", except versions %v", plc.ExceptVersions)
	}
	if plc.Choice != "" {
		prn.printf(": %s\n", plc.Choice)
	} else {
		prn.printf(": refused, %s\n", describeRefusal(plc.Refusal, plc.RetryAfterMillis))
	}
	prn.printf("engines: %g prompt tokens a ms, step %g ms (0: prior)\n", plc.PrefillRate, plc.StepMillis)
	if prn.err != nil {
		return
	}
	tab := tabwriter.NewWriter(prn.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tab, "endpoint\tzone\tversion\tstate\tcost ms\tload\tterms")
	for idx := range plc.Candidates[:min(limit, len(plc.Candidates))] {
		cnd := &plc.Candidates[idx]
		state := cnd.Availability
		if cnd.Excluded != "" {
			state = "excluded: " + string(cnd.Excluded)
		}
		fmt.Fprintf(tab, "%s\t%s\t%s\t%s\t%.1f\t%s\t%s\n", cnd.Endpoint, cnd.Zone, cnd.Version, state, cnd.Cost, describeLoad(cnd), describeTerms(cnd))
	}
	prn.err = tab.Flush()
	if left := len(plc.Candidates) - limit; left > 0 {
		prn.printf("%d more rows\n", left)
	}
	for _, reason := range slices.Sorted(maps.Keys(plc.Excluded)) {
		prn.printf("excluded as %s: %d\n", reason, plc.Excluded[reason])
	}
	if plc.Unsampled > 0 {
		prn.printf("%d other endpoints were not in the sample that was compared\n", plc.Unsampled)
	}
}

// describeLoad returns the load by which an endpoint's cost was estimated.
func describeLoad(cnd *pool.Candidate) string {
	out := fmt.Sprintf("%d in flight", cnd.InFlight)
	if cnd.Load == pool.LoadReported {
		out += fmt.Sprintf(", reported %d running %d waiting", cnd.Running, cnd.Waiting)
	}
	return out
}

// describeTerms returns the terms of an endpoint's cost that are not 0, with what explains
// them.
func describeTerms(cnd *pool.Candidate) string {
	var out []string
	add := func(name string, val float64) {
		if val > 0 {
			out = append(out, fmt.Sprintf("%s %.1f", name, val))
		}
	}
	trm := &cnd.Terms
	add("failures", trm.Failures)
	add("stalls", trm.Stalls)
	add("slots", trm.Slots)
	add("memory", trm.Memory)
	add("running", trm.Running)
	add("waiting", trm.Waiting)
	add("prefill", trm.Prefill)
	add("turn", trm.Turn)
	add("zone", trm.Zone)
	if cnd.Prefill > 0 {
		out = append(out, fmt.Sprintf("(%d tokens not cached)", cnd.Prefill))
	}
	if cnd.Pace != 1 {
		out = append(out, fmt.Sprintf("(pace %.2f)", cnd.Pace))
	}
	if cnd.ColdMillis > 0 {
		out = append(out, fmt.Sprintf("(cold for %d ms)", cnd.ColdMillis))
	}
	return strings.Join(out, ", ")
}
