package peer

import (
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/dragonflypond/dragonflypond/internal/peerpb"
)

// MaxDatagramBytes is the largest size of an encrypted datagram. It fits the usual network MTU, so datagrams are not
// fragmented.
const MaxDatagramBytes = 1200

// ErrDatagramTooLarge is returned by Seal for a message that does not fit MaxDatagramBytes.
var ErrDatagramTooLarge = errors.Errorf("datagram exceeds %d bytes", MaxDatagramBytes)

// Seal encodes and encrypts a datagram.
func (n *Network) Seal(datagram *peerpb.Datagram) ([]byte, error) {
	plain, err := proto.Marshal(datagram)
	if err != nil {
		return nil, errors.Wrap(err, "encode datagram")
	}
	if len(plain)+n.aead.Overhead() > MaxDatagramBytes {
		return nil, ErrDatagramTooLarge
	}
	return n.aead.Seal(nil, nil, plain, nil), nil
}

// Open decrypts and decodes a datagram. It fails if the sender has a different cluster secret.
func (n *Network) Open(sealed []byte) (*peerpb.Datagram, error) {
	plain, err := n.aead.Open(nil, nil, sealed, nil)
	if err != nil {
		return nil, errors.Wrap(err, "decrypt datagram")
	}
	datagram := new(peerpb.Datagram)
	if err := proto.Unmarshal(plain, datagram); err != nil {
		return nil, errors.Wrap(err, "decode datagram")
	}
	return datagram, nil
}
