package serve

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/dragonflypond/dragonflypond/internal/peerpb"
)

// maxBatchBytes bounds a decompressed batch. A value in the store has up to 1 MB.
const maxBatchBytes = 16 << 20

// decodeRecords returns the records of a response, decompressed if needed.
func decodeRecords(resp *peerpb.PullResponse) ([]*peerpb.PublishedRecord, error) {
	if len(resp.GetPacked()) == 0 {
		return resp.GetRecords(), nil
	}
	reader, err := gzip.NewReader(bytes.NewReader(resp.GetPacked()))
	if err != nil {
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
	var buffer bytes.Buffer
	writer := gzip.NewWriter(&buffer)
	if _, err := writer.Write(encoded); err != nil {
		return nil, errors.Wrap(err, "compress records")
	}
	if err := writer.Close(); err != nil {
		return nil, errors.Wrap(err, "compress records")
	}
	return buffer.Bytes(), nil
}
