package fake

import (
	"context"
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wagtailwick/wagtailwick/internal/engine"
	"github.com/wagtailwick/wagtailwick/internal/wire"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const (
	defaultPrefillRate = 8000
	defaultDecodeTime  = 20 * time.Millisecond
	defaultKVRate      = 100_000
	// bytesPerToken estimates the token count of a prompt.
	bytesPerToken     = 4
	blockTokens       = wick.PrefixBlockBytes / bytesPerToken
	minAnswerTokens   = 16
	answerTokensRange = 240
	maxTokenValues    = 36 * 36 * 36 * 36
)

// An Engine is a fake model engine. Its zero value is ready to use; exported
// fields must be set before the first call.
type Engine struct {
	Host
	// PrefillRate is the prefill throughput in tokens per second, one prompt at
	// a time; 8000 if zero.
	PrefillRate wick.Tokens
	// DecodeTime is the time per output token; 20 ms if zero. DecodeLoad is
	// added to it for every other running call.
	DecodeTime time.Duration
	DecodeLoad time.Duration
	// AnswerTokens is the length of answers. If zero it depends on the prompt,
	// from 16 to 255.
	AnswerTokens wick.Tokens
	// KVRate is the rate of KV export and import in tokens per second; 100000
	// if zero.
	KVRate wick.Tokens
	// LoadTime is the time that loading a version takes.
	LoadTime time.Duration
	// ChecksFence makes the engine reject orders with a stale fencing token.
	ChecksFence bool
	// CacheBlocks bounds the prefix cache; 4096 blocks if zero.
	CacheBlocks int
	// CacheLag is the delay of cache events, CacheEventLoss the share of them that
	// is lost.
	CacheLag       time.Duration
	CacheEventLoss wick.Share

	cache         prefixCache
	attempts      map[wick.AttemptID]*attempt
	prefillIdleAt time.Time
	fence         wick.Fence
	staleOrders   int
	recomputed    wick.Tokens
}

// An attempt is one running call. Engine.mu guards text.
type attempt struct {
	text   strings.Builder
	cancel context.CancelCauseFunc
}

// TokenText returns one token of the answer to a prompt. It is a pure function
// of prompt and index, so a resumed answer equals an uninterrupted one.
func TokenText(prompt string, idx wick.Tokens) string {
	sum := xxhash.Sum64String(strconv.FormatUint(xxhash.Sum64String(prompt), 36) + "/" + strconv.FormatInt(int64(idx), 36))
	return " " + strconv.FormatUint(sum%maxTokenValues, 36)
}

// AnswerLength returns the number of tokens of the answer to a prompt and its
// finish reason.
func (eng *Engine) AnswerLength(prompt string, limit wick.Tokens) (wick.Tokens, wick.FinishReason) {
	length := eng.AnswerTokens
	if length == 0 {
		length = minAnswerTokens + wick.Tokens(xxhash.Sum64String(prompt)%answerTokensRange)
	}
	if limit > 0 && limit < length {
		return limit, wick.FinishLength
	}
	return length, wick.FinishStop
}

// Answer returns the whole answer to a prompt.
func (eng *Engine) Answer(pro wick.Prompt, limit wick.Tokens) []string {
	text := pro.Input()
	count, _ := eng.AnswerLength(text, limit)
	out := make([]string, 0, count)
	for idx := range count {
		out = append(out, TokenText(text, idx))
	}
	return out
}

// Stream runs an attempt and emits its raw events with faults applied. A
// nil error means that the caller sends the end marker.
func (eng *Engine) Stream(ctx context.Context, gen wick.Generation, route string, emit func(engine.Event) error) error {
	const op = "fake: generate"
	ctx, cancel := eng.attach(ctx)
	defer cancel(nil)
	if err := eng.beginWork(ctx, op); err != nil {
		return err
	}
	if !eng.serves(gen.Version) {
		return wire.NewError(wick.ErrNotExecuted, op, wick.ErrNotFound)
	}
	att := &attempt{cancel: cancel}
	eng.lock()
	if eng.attempts == nil {
		eng.attempts = make(map[wick.AttemptID]*attempt)
	}
	eng.attempts[gen.Attempt] = att
	eng.mu.Unlock()
	defer func() {
		eng.lock()
		defer eng.mu.Unlock()
		delete(eng.attempts, gen.Attempt)
	}()
	if err := eng.acquire(ctx, gen.Priority); err != nil {
		return err
	}
	defer eng.release()
	emt := &emitter{eng: eng, flt: eng.currentFaults(), emit: emit}
	emt.discard = eng.sampler.sample(emt.flt.LoseReplies)
	err := eng.run(ctx, gen, att, eng.countCall(gen.Version, route), emt)
	switch {
	case err != nil && emt.sent:
		return wire.NewError(wick.ErrTruncated, op, err)
	case err != nil:
		return wire.NewError(wick.ErrUnknownOutcome, op, err)
	case emt.discard:
		return wire.NewError(wick.ErrUnknownOutcome, op, errDropped)
	}
	return nil
}

func (eng *Engine) run(ctx context.Context, gen wick.Generation, att *attempt, bad BadVersion, emt *emitter) error {
	if eng.sampler.sample(bad.Fail) {
		return errBadVersion
	}
	if err := sleep(ctx, bad.SlowMillis.Duration()); err != nil {
		return err
	}
	prompt := gen.Prompt.Input()
	cached, err := eng.prefillPrompt(ctx, prompt+strings.Join(gen.Continue, ""), att)
	if err != nil {
		return err
	}
	count, reason := eng.AnswerLength(prompt, gen.MaxTokens)
	first := wick.Tokens(len(gen.Continue))
	truncateAt := wick.Tokens(-1)
	if eng.sampler.sample(emt.flt.Truncate) {
		truncateAt = first + (count-first)/2
	}
	for idx := first; idx < count; idx++ {
		if idx == truncateAt {
			return errDropped
		}
		if err := sleep(ctx, eng.stepTime()+bad.SlowMillis.Duration()); err != nil {
			return err
		}
		text := TokenText(prompt, idx)
		eng.lock()
		att.text.WriteString(text)
		eng.mu.Unlock()
		err := emt.send(engine.Event{Attempt: gen.Attempt, Index: idx, Choices: []engine.Choice{{Text: text}}})
		if err != nil {
			return err
		}
	}
	eng.cacheText(att)
	tokens := tokensOf(prompt)
	return emt.finish(engine.Event{
		Attempt: gen.Attempt, Index: max(first, count), Choices: []engine.Choice{{FinishReason: reason}},
		Usage: &engine.Usage{
			PromptTokens: tokens, CompletionTokens: max(first, count),
			Details: engine.UsageDetails{CachedTokens: min(tokens, cached)},
		},
	})
}

func tokensOf(text string) wick.Tokens {
	return wick.Tokens((len(text) + bytesPerToken - 1) / bytesPerToken)
}

// prefillPrompt waits for the prefill of the uncached tokens and returns the
// number of cached ones.
func (eng *Engine) prefillPrompt(ctx context.Context, text string, att *attempt) (wick.Tokens, error) {
	blocks := wick.PrefixBlocks(text)
	rate := orTokens(eng.PrefillRate, defaultPrefillRate)
	eng.lock()
	cached := wick.Tokens(eng.cache.match(blocks) * blockTokens)
	uncached := max(1, tokensOf(text)-cached)
	now := time.Now()
	if eng.prefillIdleAt.Before(now) {
		eng.prefillIdleAt = now
	}
	eng.prefillIdleAt = eng.prefillIdleAt.Add(perToken(uncached, rate))
	wait := eng.prefillIdleAt.Sub(now)
	eng.prefill += uncached
	eng.snapshot()
	eng.mu.Unlock()
	err := sleep(ctx, wait)
	eng.lock()
	eng.prefill -= uncached
	eng.snapshot()
	if err == nil {
		eng.recomputed += uncached
		att.text.WriteString(text)
	}
	eng.mu.Unlock()
	eng.cacheText(att)
	return cached, err
}

// cacheText adds the attempt's text to the prefix cache.
func (eng *Engine) cacheText(att *attempt) {
	eng.lock()
	defer eng.mu.Unlock()
	eng.storeBlocks(wick.PrefixBlocks(att.text.String()))
}

// storeBlocks adds blocks to the cache. The caller must hold mu.
func (eng *Engine) storeBlocks(blocks []uint64) {
	eng.cache.max = eng.CacheBlocks
	eng.cache.store(blocks, func() bool { return eng.sampler.sample(eng.CacheEventLoss) })
}

func (eng *Engine) stepTime() time.Duration {
	eng.lock()
	defer eng.mu.Unlock()
	base := eng.DecodeTime
	if base == 0 {
		base = defaultDecodeTime
	}
	return base + time.Duration(eng.running-1)*eng.DecodeLoad
}

func orTokens(val, def wick.Tokens) wick.Tokens {
	if val == 0 {
		return def
	}
	return val
}

func perToken(num, rate wick.Tokens) time.Duration {
	return time.Duration(float64(num) / float64(rate) * float64(time.Second))
}

// An emitter applies stream faults to the events of an attempt.
type emitter struct {
	eng  *Engine
	flt  *Faults
	emit func(engine.Event) error
	// discard drops all events: the attempt runs but its reply is lost.
	discard bool
	sent    bool
	delayed *engine.Event
}

func (emt *emitter) send(evt engine.Event) error {
	if emt.discard {
		return nil
	}
	if emt.eng.sampler.sample(emt.flt.OtherAttempt) {
		evt.Attempt = "other-" + evt.Attempt
	}
	if emt.delayed == nil && emt.eng.sampler.sample(emt.flt.Reorder) {
		emt.delayed = &evt
		return nil
	}
	copies := 1
	if emt.eng.sampler.sample(emt.flt.Duplicate) {
		copies = 2
	}
	for range copies {
		emt.sent = true
		if err := emt.emit(evt); err != nil {
			return err
		}
	}
	return emt.flush()
}

func (emt *emitter) flush() error {
	if emt.delayed == nil {
		return nil
	}
	evt := *emt.delayed
	emt.delayed = nil
	emt.sent = true
	return emt.emit(evt)
}

func (emt *emitter) finish(evt engine.Event) error {
	if emt.discard {
		return nil
	}
	if err := emt.flush(); err != nil {
		return err
	}
	emt.sent = true
	return emt.emit(evt)
}

// IsDropped reports whether err represents a closed connection.
func IsDropped(err error) bool { return errors.Is(err, errDropped) }
