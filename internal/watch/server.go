package watch

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/dragonflypond/dragonflypond/internal/peerpb"
	"github.com/dragonflypond/dragonflypond/pkg/spec"
)

// server is the drpc service that gives this instance's manifest to others.
type manifestServer struct{ watch *Watch }

// Confirm implements the drpc service.
func (s *manifestServer) Confirm(context.Context, *peerpb.ConfirmRequest) (*peerpb.ConfirmResponse, error) {
	s.watch.mu.Lock()
	defer s.watch.mu.Unlock()
	return &peerpb.ConfirmResponse{Manifest: s.watch.machine.Version(time.Now())}, nil
}

// FetchManifest implements the drpc service.
func (s *manifestServer) FetchManifest(_ context.Context, req *peerpb.FetchManifestRequest) (*peerpb.FetchManifestResponse, error) {
	s.watch.mu.Lock()
	version, manifest := s.watch.machine.Version(time.Now()), s.watch.machine.Current()
	base := s.watch.machine.Retained(req.GetBase())
	s.watch.mu.Unlock()
	if manifest == nil {
		return nil, errors.New("no manifest in effect")
	}
	compressed, err := s.watch.compressor.get(manifest, base)
	if err != nil {
		return nil, err
	}
	return &peerpb.FetchManifestResponse{Manifest: version, Compressed: compressed, WithBase: base != nil}, nil
}

// decodeFetched turns the answer of another instance into a manifest.
func decodeFetched(resp *peerpb.FetchManifestResponse, base *spec.Manifest) FetchResult {
	var dictionary []byte
	if resp.GetWithBase() && base == nil {
		return FetchResult{Err: errors.New("fetched manifest needs a base that was not offered")}
	}
	if resp.GetWithBase() {
		dictionary = base.Body()
	}
	body, err := decompress(resp.GetCompressed(), dictionary)
	if err != nil {
		return FetchResult{Err: err}
	}
	manifest, err := spec.Decode(body, resp.GetManifest().GetRevision())
	if err != nil {
		return FetchResult{Version: resp.GetManifest(), Invalid: err}
	}
	if manifest.Hash() != resp.GetManifest().GetHash() {
		return FetchResult{Err: errors.New("fetched manifest has another hash than announced")}
	}
	return FetchResult{Version: resp.GetManifest(), Manifest: manifest}
}
