package watch

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/dragonflypond/dragonflypond/internal/peerpb"
	"github.com/dragonflypond/dragonflypond/pkg/spec"
)

// manifestServer is the drpc service from which other instances get the manifest of this one.
type manifestServer struct{ watch *Watch }

// Confirm implements peerpb.DRPCManifestsServer.
func (s *manifestServer) Confirm(context.Context, *peerpb.ConfirmRequest) (*peerpb.ConfirmResponse, error) {
	s.watch.mu.Lock()
	defer s.watch.mu.Unlock()
	return &peerpb.ConfirmResponse{Manifest: s.watch.machine.Version(time.Now())}, nil
}

// FetchManifest implements peerpb.DRPCManifestsServer.
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

// decodeFetched decodes and validates the manifest in the response of another instance.
func decodeFetched(resp *peerpb.FetchManifestResponse, base *spec.Manifest) FetchResult {
	var dictionary []byte
	if resp.GetWithBase() && base == nil {
		return FetchResult{Err: errors.New("fetched manifest is compressed with a base that the request did not name")}
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
		return FetchResult{Err: errors.New("fetched manifest does not match the hash in the response")}
	}
	return FetchResult{Version: resp.GetManifest(), Manifest: manifest}
}
