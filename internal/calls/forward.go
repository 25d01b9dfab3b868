package calls

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"time"

	"storj.io/drpc/drpcmetadata"

	"github.com/dragonflypond/dragonflypond/internal/peerpb"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

const (
	// forwardAttempts is the maximum number of times a call is forwarded. A repeat is safe, because the executor
	// attaches copies to one record; the second attempt covers a pooled connection that broke while it was idle.
	forwardAttempts = 2
	// remainingMetadataKey is the metadata key of the milliseconds left until the deadline. A duration is sent rather
	// than a time, so that clock skew does not matter.
	remainingMetadataKey = "remaining-milli"
)

// forward sends the call to the instance that may run it. After a failure, the run state is unknown.
func (e *Executor) forward(ctx context.Context, address string, call *pond.Call) (pond.Answer, error) {
	if deadline, ok := ctx.Deadline(); ok {
		remaining := deadline.Sub(e.options.Clock()).Milliseconds()
		ctx = drpcmetadata.Add(ctx, remainingMetadataKey, strconv.FormatInt(remaining, 10))
	}
	for range forwardAttempts {
		response, err := peerpb.NewDRPCCallsClient(e.options.Conn(address)).Execute(ctx, encodeCall(call))
		if err == nil {
			return decodeResponse(response, e.options.Clock())
		}
		if ctx.Err() != nil {
			return pond.Answer{}, refuseContextEnded(ctx, pond.RunUnknown)
		}
		e.logger.WithError(err).WithField("peer", address).Warn("failed to forward a call")
	}
	return pond.Answer{}, refuseRunUnknown(pond.ReasonExecutorGone, "the instance named in the key cannot be reached")
}

// Execute implements peerpb.DRPCCallsServer for calls that another instance forwards.
func (e *Executor) Execute(ctx context.Context, req *peerpb.ExecuteRequest) (*peerpb.ExecuteResponse, error) {
	ctx, cancel := e.withRemainingDeadline(ctx)
	defer cancel()
	answer, err := e.Handle(ctx, decodeCall(req))
	if err != nil {
		return &peerpb.ExecuteResponse{Refusal: encodeRefusal(asRefusal(err), e.options.Clock())}, nil
	}
	defer answer.Release()
	return &peerpb.ExecuteResponse{
		Status: int32(answer.Status),
		Header: encodeHeader(answer.Header),
		Body:   answer.Body,
	}, nil
}

func (e *Executor) withRemainingDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	metadata, _ := drpcmetadata.Get(ctx)
	milli, err := strconv.ParseInt(metadata[remainingMetadataKey], 10, 64)
	if err != nil {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, e.options.Clock().Add(time.Duration(milli)*time.Millisecond))
}

func encodeCall(call *pond.Call) *peerpb.ExecuteRequest {
	return &peerpb.ExecuteRequest{
		Account: call.Account,
		Service: call.Service,
		Method:  call.Method,
		Path:    call.Path,
		Header:  encodeHeader(call.Header),
		Body:    call.Body,
		Key:     call.Key,
	}
}

func decodeCall(req *peerpb.ExecuteRequest) pond.Call {
	return pond.Call{
		Account:   req.GetAccount(),
		Service:   req.GetService(),
		Method:    req.GetMethod(),
		Path:      req.GetPath(),
		Header:    decodeHeader(req.GetHeader()),
		Body:      req.GetBody(),
		Key:       req.GetKey(),
		Forwarded: true,
	}
}

func encodeHeader(header http.Header) []*peerpb.HeaderField {
	fields := make([]*peerpb.HeaderField, 0, len(header))
	for name, values := range header {
		fields = append(fields, &peerpb.HeaderField{Name: name, Values: slices.Clone(values)})
	}
	return fields
}

func decodeHeader(fields []*peerpb.HeaderField) http.Header {
	header := make(http.Header, len(fields))
	for _, field := range fields {
		header[field.GetName()] = field.GetValues()
	}
	return header
}

func encodeRefusal(refusal *pond.Refusal, now time.Time) *peerpb.RefusalInfo {
	return &peerpb.RefusalInfo{
		Reason: refusal.Reason().String(),
		Run:    uint32(refusal.Run()),
		Detail: refusal.Detail(),

		RetryAfterMilli: peerpb.RetryAfter(refusal.RetryAt(), now),
	}
}

// decodeResponse returns the answer or the refusal of the executor. Values that this version does not know become
// ReasonInternal and RunUnknown.
func decodeResponse(response *peerpb.ExecuteResponse, now time.Time) (pond.Answer, error) {
	info := response.GetRefusal()
	if info == nil {
		return pond.Answer{
			Status: int(response.GetStatus()),
			Header: decodeHeader(response.GetHeader()),
			Body:   response.GetBody(),
		}, nil
	}
	reason, err := pond.ReasonString(info.GetReason())
	if err != nil {
		reason = pond.ReasonInternal
	}
	run := pond.RunState(info.GetRun())
	if !run.IsARunState() {
		run = pond.RunUnknown
	}
	retryAt := peerpb.RetryAt(info.GetRetryAfterMilli(), now)
	return pond.Answer{}, pond.NewRefusal(reason, run, retryAt, info.GetDetail())
}
