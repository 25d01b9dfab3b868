package watch

import (
	"sync"

	"github.com/klauspost/compress/zstd"
	"github.com/pkg/errors"

	"github.com/dragonflypond/dragonflypond/pkg/spec"
)

const (
	// maxBodyBytes is the size limit of a manifest; the configuration service stores values up to 1 MB.
	maxBodyBytes = 2 << 20
	// dictionaryID is an arbitrary number shared by both ends, which identify the base by version and hash.
	dictionaryID = 1
	// windowBytes is large enough for a body and a base of maxBodyBytes each, so that all of the base can be
	// referenced.
	windowBytes = 4 << 20
	// maxCachedForms is the number of cached compressed forms: one without a base and one for each of the usual bases.
	maxCachedForms = 4
)

// compress compresses the body with zstd, with base as dictionary unless it is nil.
func compress(body, base []byte) ([]byte, error) {
	options := []zstd.EOption{
		zstd.WithEncoderConcurrency(1),
		zstd.WithWindowSize(windowBytes),
		zstd.WithLowerEncoderMem(true),
	}
	if base != nil {
		options = append(options, zstd.WithEncoderDictRaw(dictionaryID, base))
	}
	encoder, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, errors.Wrap(err, "create manifest compressor")
	}
	defer func() { _ = encoder.Close() }()
	return encoder.EncodeAll(body, nil), nil
}

// decompress is the inverse of compress.
func decompress(compressed, base []byte) ([]byte, error) {
	options := []zstd.DOption{
		zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderMaxMemory(maxBodyBytes),
		zstd.WithDecoderMaxWindow(windowBytes),
	}
	if base != nil {
		options = append(options, zstd.WithDecoderDictRaw(dictionaryID, base))
	}
	decoder, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, errors.Wrap(err, "create manifest decompressor")
	}
	defer decoder.Close()
	body, err := decoder.DecodeAll(compressed, nil)
	return body, errors.Wrap(err, "decompress manifest")
}

// compressor caches the compressed forms of one manifest by the hash of their base, because several instances request
// the same form.
type compressor struct {
	mu         sync.Mutex
	manifest   *spec.Manifest
	compressed map[uint64][]byte
}

// get returns the manifest compressed against a base, which may be nil.
func (c *compressor) get(manifest, base *spec.Manifest) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.manifest != manifest || len(c.compressed) >= maxCachedForms {
		c.manifest = manifest
		c.compressed = make(map[uint64][]byte)
	}
	var key uint64
	var dictionary []byte
	if base != nil {
		key, dictionary = base.Hash(), base.Body()
	}
	if form, ok := c.compressed[key]; ok {
		return form, nil
	}
	form, err := compress(manifest.Body(), dictionary)
	if err != nil {
		return nil, err
	}
	c.compressed[key] = form
	return form, nil
}
