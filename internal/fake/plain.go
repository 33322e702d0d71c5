package fake

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wagtailwick/wagtailwick/internal/wire"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const defaultServiceTime = 20 * time.Millisecond

// A Plain is a fake plain service. Its zero value is ready to use; exported
// fields must be set before the first call.
type Plain struct {
	Host
	// ServiceTime is how long a call takes; 20 ms if zero.
	ServiceTime time.Duration
	// Deduplicates makes a repeated key return the first reply without
	// another execution.
	Deduplicates bool

	executions map[string]int64
	replies    map[wick.IdempotencyKey]wick.PlainReply
}

// A Receipt is the body of the replies of Plain.
type Receipt struct {
	Key  wick.IdempotencyKey `json:"key,omitempty"`
	Path string              `json:"path"`
	// Sum is a hash of method, path and body.
	Sum string `json:"sum"`
	// Execution numbers the executions of the key, from 1.
	Execution int64 `json:"execution"`
}

// Executions returns the number of executions per key. A call without a key is
// counted under "attempt:" and its attempt id.
func (pla *Plain) Executions() map[string]int64 {
	pla.lock()
	defer pla.mu.Unlock()
	return maps.Clone(pla.executions)
}

// Call runs one call. If it fails with wick.ErrTruncated or because the reply
// names another attempt, it also returns the complete reply.
func (pla *Plain) Call(ctx context.Context, call wick.PlainCall) (wick.PlainReply, error) {
	const op = "fake: call"
	ctx, cancel := pla.attach(ctx)
	defer cancel(nil)
	err := pla.beginWork(ctx, op)
	if errors.Is(err, errDown) {
		return failure(), nil
	}
	if err != nil {
		return wick.PlainReply{}, err
	}
	if err := pla.acquire(ctx, 0); err != nil {
		return wick.PlainReply{}, err
	}
	defer pla.release()
	version := wick.ModelVersion("")
	if len(pla.VM.Versions) > 0 {
		version = pla.VM.Versions[0]
	}
	bad := pla.countCall(version, call.Path)
	if pla.sampler.sample(bad.Fail) {
		return failure(), sleep(ctx, bad.SlowMillis.Duration())
	}
	rep, err := pla.execute(call)
	if err != nil {
		return wick.PlainReply{}, err
	}
	service := pla.ServiceTime
	if service == 0 {
		service = defaultServiceTime
	}
	if err := sleep(ctx, service+bad.SlowMillis.Duration()); err != nil {
		return wick.PlainReply{}, wire.NewError(wick.ErrUnknownOutcome, op, err)
	}
	flt := pla.currentFaults()
	switch {
	case pla.sampler.sample(flt.LoseReplies):
		return wick.PlainReply{}, wire.NewError(wick.ErrUnknownOutcome, op, errDropped)
	case pla.sampler.sample(flt.Truncate):
		return rep, wire.NewError(wick.ErrTruncated, op, errDropped)
	case pla.sampler.sample(flt.OtherAttempt):
		return rep, wire.NewError(wick.ErrUnknownOutcome, op, errOtherAttempt)
	}
	return rep, nil
}

// failure returns the reply of a call that failed without effect.
func failure() wick.PlainReply {
	return wick.PlainReply{Status: http.StatusInternalServerError}
}

// execute applies the effect of a call, which is to count the execution.
func (pla *Plain) execute(call wick.PlainCall) (wick.PlainReply, error) {
	pla.lock()
	defer pla.mu.Unlock()
	if pla.executions == nil {
		pla.executions = make(map[string]int64)
		pla.replies = make(map[wick.IdempotencyKey]wick.PlainReply)
	}
	if rep, ok := pla.replies[call.Key]; ok && call.Key != "" && pla.Deduplicates {
		return rep, nil
	}
	name := string(call.Key)
	if name == "" {
		name = "attempt:" + string(call.Attempt)
	}
	pla.executions[name]++
	body, err := json.Marshal(Receipt{
		Key: call.Key, Path: call.Path, Execution: pla.executions[name],
		Sum: strconv.FormatUint(xxhash.Sum64String(call.Method+" "+call.Path+"\n"+string(call.Body)), 16),
	})
	if err != nil {
		return wick.PlainReply{}, err
	}
	rep := wick.PlainReply{
		Status: http.StatusOK, Body: body,
		Headers: []wick.Header{{Name: wire.HeaderType, Value: wire.JSONMedia}},
	}
	if call.Key != "" {
		pla.replies[call.Key] = rep
	}
	return rep, nil
}

// Plains is a wick.PlainCaller that calls fake plain services in process. Its zero
// value has no services.
type Plains struct {
	mu   sync.Mutex
	byVM map[wick.VMID]*Plain
}

var _ wick.PlainCaller = (*Plains)(nil)

// Add makes a service reachable under the id of its VM.
func (pls *Plains) Add(pla *Plain) {
	pls.mu.Lock()
	defer pls.mu.Unlock()
	if pls.byVM == nil {
		pls.byVM = make(map[wick.VMID]*Plain)
	}
	pls.byVM[pla.VM.ID] = pla
}

func (pls *Plains) get(vm wick.VM) *Plain {
	pls.mu.Lock()
	defer pls.mu.Unlock()
	return pls.byVM[vm.ID]
}

// Call sends a call to the service of a VM.
func (pls *Plains) Call(ctx context.Context, vm wick.VM, call wick.PlainCall) (wick.PlainReply, error) {
	pla := pls.get(vm)
	if pla == nil {
		return wick.PlainReply{}, wire.NewError(wick.ErrNotSent, "fake: dial", nil)
	}
	rep, err := pla.Call(ctx, call)
	if err != nil {
		return wick.PlainReply{}, err
	}
	return rep, nil
}

// Load returns the load report of a VM.
func (pls *Plains) Load(ctx context.Context, vm wick.VM) (wick.LoadReport, error) {
	pla := pls.get(vm)
	if pla == nil {
		return wick.LoadReport{}, wire.NewError(wick.ErrUnavailable, "fake: dial", nil)
	}
	return pla.Load(ctx)
}
