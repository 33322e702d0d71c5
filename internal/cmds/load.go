package cmds

import (
	"context"
	"errors"

	"github.com/alecthomas/kingpin/v2"

	"github.com/wagtailwick/wagtailwick/internal/load"
	"github.com/wagtailwick/wagtailwick/pkg/client"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

var (
	// errNoService reports a load command without a service.
	errNoService = errors.New("name a service with --model or --plain")
	// errCallsFailed is returned with --strict.
	errCallsFailed = errors.New("calls were broken or their outcome is unknown")
)

func loadCommand(app *kingpin.Application, ev *env) (string, func() error) {
	cmd := app.Command("load", "Send calls to running entries at a constant rate and print latency percentiles and counts.\n\n"+
		"Example: wagtailwick load --entry http://127.0.0.1:8101 --key KEY --model quotes --rate 50 --duration 10s")
	entries := cmd.Flag("entry", "Base URL of an entry; may be repeated.").Required().Strings()
	key := cmd.Flag("key", "Key of the customer.").Required().String()
	rate := cmd.Flag("rate", "Calls per second.").Default("10").Float64()
	duration := cmd.Flag("duration", "How long to send.").Default("10s").Duration()
	model := cmd.Flag("model", "Model service to call.").String()
	promptTokens := cmd.Flag("prompt-tokens", "Words in each prompt.").Default("200").Int()
	shared := cmd.Flag("shared-prefix", "Share of each prompt that all calls have in common.").Default("0.5").Float64()
	maxTokens := cmd.Flag("max-tokens", "Tokens to generate per call.").Default("64").Int64()
	plain := cmd.Flag("plain", "Plain service to call.").String()
	method := cmd.Flag("method", "Method of plain calls.").Default("POST").String()
	path := cmd.Flag("path", "Path of plain calls below the service.").Default("/").String()
	plainShare := cmd.Flag("plain-share", "Share of plain calls when both services are named.").Default("0.2").Float64()
	keyed := cmd.Flag("keyed", "Send an idempotency key with each plain call.").Bool()
	deadline := cmd.Flag("deadline", "Deadline of each call; 0 is none.").Default("30s").Duration()
	seed := cmd.Flag("seed", "Seed of the mix of calls.").Default("1").Uint64()
	direct := cmd.Flag("direct", "Address of an endpoint, host:port; may be repeated. Every second model call then bypasses the entries and is reported separately.").Strings()
	version := cmd.Flag("model-version", "Version that direct calls request.").String()
	strict := cmd.Flag("strict", "Exit with 1 if a call was broken or its outcome is unknown.").Bool()
	return cmd.FullCommand(), func() error {
		if *model == "" && *plain == "" {
			return errNoService
		}
		rep := load.Run(context.Background(), load.Plan{
			Client:       &client.Client{Entries: *entries, Key: *key},
			Rate:         *rate,
			Duration:     *duration,
			Model:        wick.Service(*model),
			PromptTokens: *promptTokens,
			MaxTokens:    wick.Tokens(*maxTokens),
			SharedPrefix: wick.Share(*shared),
			Plain:        wick.Service(*plain),
			Method:       *method,
			Path:         *path,
			PlainShare:   wick.Share(*plainShare),
			Keyed:        *keyed,
			Deadline:     *deadline,
			Seed:         *seed,
			Direct:       *direct,
			Version:      wick.ModelVersion(*version),
		})
		rep.Write(ev.stdout)
		if *strict && rep.Failed() > 0 {
			return errCallsFailed
		}
		return nil
	}
}
