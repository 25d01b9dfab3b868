package serve

import (
	"context"
	"net/http"
	"runtime/debug"
	"sync/atomic"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/dragonflypond/dragonflypond/internal/engine"
	"github.com/dragonflypond/dragonflypond/internal/feed"
	"github.com/dragonflypond/dragonflypond/internal/logs"
	"github.com/dragonflypond/dragonflypond/internal/relay"
	"github.com/dragonflypond/dragonflypond/internal/route"
)

// container turns panics of the adapters into errors of the record, pull or call in which they occur. Adapters decode what other programs
// write and hold no state of the instance. A panic elsewhere ends the process, because it may leave shared state half changed.
type container struct {
	log    logrus.FieldLogger
	panics atomic.Int64
}

// contain is deferred by a function that calls an adapter. It sets the error of that function if the adapter panics.
func (c *container) contain(call string, err *error) {
	r := recover()
	if r == nil {
		return
	}
	c.panics.Add(1)
	*err = errors.Errorf("panic in %s: %v", call, r)
	c.log.WithFields(logrus.Fields{logs.Event: "adapterPanicked", "call": call, "stack": string(debug.Stack())}).
		Errorf("an adapter panicked: %v", r)
}

// wrap returns adapters whose panics are contained.
func (c *container) wrap(adapters Adapters) Adapters {
	decoder, store, number, newBackends := adapters.Decoder, adapters.Store, adapters.Number, adapters.NewBackends
	adapters.Decoder = containedDecoder{decoder: decoder, container: c}
	adapters.Store = feed.SourceFunc(func(ctx context.Context, cursor feed.Cursor) (batch feed.Batch, err error) {
		defer c.contain("pull from the store", &err)
		return store.Pull(ctx, cursor)
	})
	adapters.Number = func(record feed.Record) (n uint64) {
		var err error // Whoever uses the record gets the same error.
		defer c.contain("number of a record", &err)
		return number(record)
	}
	adapters.NewBackends = func(dial engine.DialFunc, applySignal SignalFunc) Backends {
		return containedBackends{Backends: newBackends(dial, applySignal), container: c}
	}
	return adapters
}

// containedDecoder contains panics of a decoder.
type containedDecoder struct {
	decoder interface {
		Catalogue(record feed.Record) (*route.Catalogue, error)
		Backend(record feed.Record) (route.Backend, bool, error)
		Evacuation(record feed.Record) (string, bool)
	}
	container *container
}

// Catalogue implements fleet.Decoder.
func (d containedDecoder) Catalogue(record feed.Record) (catalogue *route.Catalogue, err error) {
	defer d.container.contain("decoding of a configuration", &err)
	return d.decoder.Catalogue(record)
}

// Backend implements fleet.Decoder. The record of a panic is an unusable entry of the backend server with its key.
func (d containedDecoder) Backend(record feed.Record) (backend route.Backend, ok bool, err error) {
	backend, ok = route.Backend{ID: record.Key}, true
	defer d.container.contain("decoding of an entry", &err)
	return d.decoder.Backend(record)
}

// Evacuation implements fleet.Decoder. The record of a panic evacuates nothing.
func (d containedDecoder) Evacuation(record feed.Record) (dataCentre string, ok bool) {
	var err error // It is logged.
	defer d.container.contain("decoding of an evacuation", &err)
	return d.decoder.Evacuation(record)
}

// containedBackends contains panics of an adapter to the backend servers. Panics in Protocol are those of a caller's request, which net/http
// contains.
type containedBackends struct {
	Backends
	container *container
}

// Copy implements relay.Copier.
func (b containedBackends) Copy(
	ctx context.Context, source route.Backend, run string, target route.Backend, last bool,
) (made relay.Copy, err error) {
	defer b.container.contain("copy of a run", &err)
	return b.Backends.Copy(ctx, source, run, target, last)
}

// Drop implements relay.Copier.
func (b containedBackends) Drop(ctx context.Context, source route.Backend, handle string) (err error) {
	defer b.container.contain("deletion of a copy", &err)
	return b.Backends.Drop(ctx, source, handle)
}

// Leaving implements relay.Inspector.
func (b containedBackends) Leaving(ctx context.Context, backend route.Backend) (leaving bool, err error) {
	defer b.container.contain("state of an engine", &err)
	return b.Backends.Leaving(ctx, backend)
}

// StartedAt implements relay.Inspector.
func (b containedBackends) StartedAt(ctx context.Context, backend route.Backend) (millis int64, err error) {
	defer b.container.contain("start of an engine", &err)
	return b.Backends.StartedAt(ctx, backend)
}

// Request implements relay.Protocol.
func (b containedBackends) Request(
	ctx context.Context, in *http.Request, call *relay.Call, dispatch relay.Dispatch, body relay.Body,
) (req *http.Request, err error) {
	defer b.container.contain("building of a request", &err)
	return b.Backends.Request(ctx, in, call, dispatch, body)
}
