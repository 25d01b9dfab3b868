package watch

import (
	"time"

	"github.com/dragonflypond/dragonflypond/internal/member"
	"github.com/dragonflypond/dragonflypond/pkg/spec"
)

// refusedBackoff is how long this instance avoids a backend server that refused a connection. Other instances are not
// told, because the cause may be the network path from this one.
const refusedBackoff = 3 * time.Second

// Notices is the part of the membership that exchanges notices about backend servers.
type Notices interface {
	BackendState(backend string) member.BackendState
	AnnounceBackend(backend string, state member.BackendState)
}

// Backends decides which backend servers accept work, from the manifest, the instance list of the platform and the
// notices of instances. It is not safe for concurrent use.
type Backends struct {
	notices  Notices
	manifest *spec.Manifest
	// listed holds the last state in the instance list of each backend server that ever appeared there.
	listed       map[string]member.BackendState
	refusedUntil map[string]time.Time
}

// NewBackends returns Backends without a manifest, in which no backend server accepts work.
func NewBackends(notices Notices) *Backends {
	return &Backends{
		notices:      notices,
		listed:       make(map[string]member.BackendState),
		refusedUntil: make(map[string]time.Time),
	}
}

// Accepting reports whether a backend server may receive new work. One that never appeared in the instance list may,
// because the list lags behind the manifest.
func (b *Backends) Accepting(now time.Time, backend string) bool {
	if b.manifest == nil {
		return false
	}
	declared, ok := b.manifest.Backend(backend)
	if !ok || declared.Leaving() || isClosed(b.listed[backend]) || isClosed(b.notices.BackendState(backend)) {
		return false
	}
	return !now.Before(b.refusedUntil[backend])
}

func isClosed(state member.BackendState) bool {
	return state == member.BackendLeaving || state == member.BackendGone
}

// MarkLeaving announces to all instances that a backend server reported itself as leaving.
func (b *Backends) MarkLeaving(name string) { b.notices.AnnounceBackend(name, member.BackendLeaving) }

// WithdrawNotices withdraws notices about a backend server. The caller must know that a new process runs under that
// name. A load report does not prove it, because reports lag.
func (b *Backends) WithdrawNotices(backend string) {
	b.notices.AnnounceBackend(backend, member.BackendAccepting)
}

// RecordRefusal records that a backend server refused a connection from this instance.
func (b *Backends) RecordRefusal(now time.Time, backend string) {
	b.refusedUntil[backend] = now.Add(refusedBackoff)
}

// SetManifest applies a manifest. A backend server with a new address is a new process, so earlier notices about the
// name no longer apply.
func (b *Backends) SetManifest(manifest *spec.Manifest) {
	old := b.manifest
	b.manifest = manifest
	if old == nil || manifest == nil {
		return
	}
	for _, backend := range manifest.Backends() {
		if before, ok := old.Backend(backend.Name()); ok && before.Address() != backend.Address() {
			b.WithdrawNotices(backend.Name())
			delete(b.listed, backend.Name())
			delete(b.refusedUntil, backend.Name())
		}
	}
}

// SetList applies the instance list: the state of each backend server by name. A backend server that disappears from
// the list is gone. One that was leaving or gone in the list and is accepting again has returned. A list that merely
// lags shows it as accepting all the time, so no notices are withdrawn.
func (b *Backends) SetList(listed map[string]member.BackendState) {
	for name, before := range b.listed {
		state, named := listed[name]
		if !named {
			b.listed[name] = member.BackendGone
		}
		if isClosed(before) && state == member.BackendAccepting {
			b.WithdrawNotices(name)
		}
	}
	for name, state := range listed {
		b.listed[name] = state
	}
}

// Closed returns the backend servers of the manifest that accept no work now.
func (b *Backends) Closed(now time.Time) []string {
	var closed []string
	if b.manifest == nil {
		return nil
	}
	for _, backend := range b.manifest.Backends() {
		if !b.Accepting(now, backend.Name()) {
			closed = append(closed, backend.Name())
		}
	}
	return closed
}
