package watch

import (
	"time"

	"github.com/dragonflypond/dragonflypond/internal/member"
	"github.com/dragonflypond/dragonflypond/pkg/spec"
)

// refusedTimeout is how long this instance avoids a backend server that refused a connection. Others decide for
// themselves, because the cause may be the path from here.
const refusedBackoff = 3 * time.Second

// Notices is the part of the membership that carries notices about backend servers.
type Notices interface {
	BackendState(backend string) member.BackendState
	AnnounceBackend(backend string, state member.BackendState)
}

// Backends decides which backend servers accept work, from the manifest, the platform's list and notices of instances.
// It is not safe for concurrent use.
type Backends struct {
	notices  Notices
	manifest *spec.Manifest
	// listed holds what the list last told about each backend server it ever named.
	listed       map[string]member.BackendState
	refusedUntil map[string]time.Time
}

// NewBackends returns a view without manifest and list, which accepts nothing.
func NewBackends(notices Notices) *Backends {
	return &Backends{
		notices:      notices,
		listed:       make(map[string]member.BackendState),
		refusedUntil: make(map[string]time.Time),
	}
}

// Accepting reports whether a backend server may receive new work. A backend server that the list never named is
// accepted, because the list lags behind the manifest.
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

// Leaving records that the backend server itself said that it is leaving, and tells all instances.
func (b *Backends) Leaving(backend string) { b.notices.AnnounceBackend(backend, member.BackendLeaving) }

// Returned withdraws notices about a backend server. The caller must know that a new process answers under the name; a
// load report is no proof, because it lags.
func (b *Backends) Returned(backend string) {
	b.notices.AnnounceBackend(backend, member.BackendAccepting)
}

// Refused records that a backend server refused a connection from this instance.
func (b *Backends) Refused(now time.Time, backend string) {
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
			b.Returned(backend.Name())
			delete(b.listed, backend.Name())
			delete(b.refusedUntil, backend.Name())
		}
	}
}

// SetList applies the platform's list: the state of each backend server by name. A backend server that the list named
// earlier and no longer names is gone. One that the list showed as closed and shows as live again has returned; a list
// that merely lags shows it as live all the time and withdraws nothing.
func (b *Backends) SetList(listed map[string]member.BackendState) {
	for name, before := range b.listed {
		state, named := listed[name]
		if !named {
			b.listed[name] = member.BackendGone
		}
		if isClosed(before) && state == member.BackendAccepting {
			b.Returned(name)
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
