package relay

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"time"

	"github.com/dragonflypond/dragonflypond/internal/hazard"
	"github.com/dragonflypond/dragonflypond/internal/route"
)

const (
	// identityBytes is the length of an identity. Nobody can construct two requests with the same one.
	identityBytes = 16

	// settleTimeout bounds the wait until it is known whether a replica has ended.
	settleTimeout = 500 * time.Millisecond
)

// identity returns what a request has in common with the same request that comes again: method, host, path with its query, caller,
// body, and the size and shared parts of a prompt, and nothing that an attempt changes. A body that is not buffered counts with its
// beginning and its length. It is computed when it is first needed.
func (x *exchange) identity() string {
	if x.requestIdentity != "" {
		return x.requestIdentity
	}
	caller := x.account
	if caller == "" {
		caller = x.call.Key
	}
	fields := [][]byte{[]byte(x.in.Method), []byte(x.call.Host), []byte(x.in.URL.RequestURI()), []byte(caller), x.body.buffered}
	if prompt := x.call.Prompt; prompt != nil {
		fields = append(fields, fmt.Append(nil, prompt.Tokens, prompt.MaxOutput, prompt.SharedParts))
	}
	hash := sha256.New()
	for _, field := range fields {
		hash.Write(binary.BigEndian.AppendUint64(nil, uint64(len(field))))
		hash.Write(field)
	}
	hash.Write(binary.BigEndian.AppendUint64(nil, uint64(x.body.Length())))
	x.requestIdentity = hex.EncodeToString(hash.Sum(nil)[:identityBytes])
	return x.requestIdentity
}

// admitRequest reports whether the request may be sent to a backend server. It is called directly before each send.
func (x *exchange) admitRequest(ctx context.Context) bool {
	guard := x.relay.options.Requests
	if x.experiment || guard.Crashes() == 0 {
		return true
	}
	admitted, experiment := x.admit(ctx, guard, []string{x.identity()}, "request")
	x.experiment = experiment
	return admitted
}

// suspected reports whether one more crash would have the request refused. It is not repeated then, so that a request that is sound fails
// once and is answered when its caller comes again.
func (x *exchange) suspected() bool {
	guard := x.relay.options.Requests
	return guard.Crashes() > 0 && guard.Suspected(x.identity())
}

// recordAnswered records that a backend server has answered the request. Nothing is remembered of requests that are not suspected.
func (x *exchange) recordAnswered(weightsVersion string) {
	if guard := x.relay.options.Requests; guard.Crashes() > 0 {
		guard.Begun([]string{x.identity()}, weightsVersion)
	}
}

// knownToLeave reports whether a backend server is known to leave or to have left.
func (x *exchange) knownToLeave(backend string) bool {
	_, leaving := x.relay.options.Fleet.LeavingSince(backend)
	return leaving || x.relay.options.Fleet.SaysLeaving(backend)
}

// settleBreak records that a replica broke the request off, if the replica has ended. A replica that is known to leave ends for that
// reason.
func (x *exchange) settleBreak(ctx context.Context, backend route.Backend, a attempt) {
	if a.err == nil || a.notRun || !mayBeCrash(a.err) || errors.Is(a.err, context.DeadlineExceeded) || errors.Is(a.err, errBodyTooLarge) {
		return
	}
	if x.knownToLeave(backend.ID) {
		return
	}
	x.recordRequestBreak(ctx, backend, a, true, x.route.Kind == route.KindIdempotent)
}

// recordRequestBreak records that a backend server broke the request off, if it has ended. If the request may be repeated, it waits until
// that is known.
func (x *exchange) recordRequestBreak(ctx context.Context, backend route.Backend, a attempt, writing, repeatable bool) {
	report := hazard.NewReport(backend.ID, backend.StartedAtMillis, a.weightsVersion, writing, []string{x.identity()}).
		InExperiment(x.experiment)
	if !repeatable {
		x.relay.options.Requests.Broke(report)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	x.relay.options.Requests.Settle(ctx, report)
}
