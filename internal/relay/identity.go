package relay

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// identityBytes is the length of an identity. Nobody can construct two requests with the same one.
const identityBytes = 16

// identity returns what a request has in common with the same request that comes again: method, host, path with its query, caller and
// body, and nothing that an attempt changes. A body that is not buffered counts with its beginning and its length. It is computed when
// it is first needed.
func (x *exchange) identity() string {
	if x.requestIdentity != "" {
		return x.requestIdentity
	}
	caller := x.account
	if caller == "" {
		caller = x.call.Key
	}
	hash := sha256.New()
	for _, field := range [][]byte{
		[]byte(x.in.Method), []byte(x.call.Host), []byte(x.in.URL.RequestURI()), []byte(caller), x.body.buffered,
	} {
		hash.Write(binary.BigEndian.AppendUint64(nil, uint64(len(field))))
		hash.Write(field)
	}
	hash.Write(binary.BigEndian.AppendUint64(nil, uint64(x.body.Length())))
	x.requestIdentity = hex.EncodeToString(hash.Sum(nil)[:identityBytes])
	return x.requestIdentity
}
