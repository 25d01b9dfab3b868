package serve

import (
	"bytes"
	"io"
	"sync"

	"github.com/klauspost/compress/gzip"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/dragonflypond/dragonflypond/internal/peerpb"
)

const (
	// maxBatchBytes bounds a decompressed batch. A value in the store has up to 1 MB.
	maxBatchBytes = 16 << 20
	// statelessBytes is the size up to which batches are compressed without a table, which has up to 0.8 MB. Most batches hold a few changes,
	// which gain 2 % from a table.
	statelessBytes = 64 << 10
)

// readers holds *gzip.Reader of former batches. A new one allocates 50 KB.
var readers sync.Pool

// decodeRecords returns the records of a response, decompressed if needed.
func decodeRecords(resp *peerpb.PullResponse) ([]*peerpb.PublishedRecord, error) {
	if len(resp.GetPacked()) == 0 {
		return resp.GetRecords(), nil
	}
	reader, ok := readers.Get().(*gzip.Reader)
	if !ok {
		reader = new(gzip.Reader)
	}
	defer readers.Put(reader)
	if err := reader.Reset(bytes.NewReader(resp.GetPacked())); err != nil {
		return nil, errors.Wrap(err, "decompress records")
	}
	encoded, err := io.ReadAll(io.LimitReader(reader, maxBatchBytes))
	if err != nil {
		return nil, errors.Wrap(err, "decompress records")
	}
	var records peerpb.PublishedRecords
	if err := proto.Unmarshal(encoded, &records); err != nil {
		return nil, errors.Wrap(err, "decode records")
	}
	return records.GetRecords(), nil
}

func compressRecords(records []*peerpb.PublishedRecord) ([]byte, error) {
	encoded, err := proto.Marshal(&peerpb.PublishedRecords{Records: records})
	if err != nil {
		return nil, errors.Wrap(err, "encode records")
	}
	level := gzip.DefaultCompression
	if len(encoded) <= statelessBytes {
		level = gzip.StatelessCompression
	}
	var buffer bytes.Buffer
	writer, err := gzip.NewWriterLevel(&buffer, level)
	if err != nil {
		return nil, errors.Wrap(err, "compress records")
	}
	if _, err := writer.Write(encoded); err != nil {
		return nil, errors.Wrap(err, "compress records")
	}
	if err := writer.Close(); err != nil {
		return nil, errors.Wrap(err, "compress records")
	}
	return buffer.Bytes(), nil
}
