package peer

import (
	"context"
	"crypto/aes"
	"crypto/cipher"
	"crypto/ed25519"
	"crypto/hkdf"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"net"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcpool"
)

const (
	// MinSecretBytes is the smallest cluster secret that NewNetwork accepts.
	MinSecretBytes = 16

	dialTimeout       = time.Second
	idleExpiration    = time.Minute
	maxIdleConns      = 512
	maxIdleConnsByKey = 8
)

// ErrSecretTooShort is returned for a cluster secret of fewer than MinSecretBytes bytes.
var ErrSecretTooShort = errors.Errorf("cluster secret must have at least %d bytes", MinSecretBytes)

// Network holds the keys of a deployment and the connections to other instances. It is safe for concurrent use.
type Network struct {
	tlsConfig *tls.Config
	sealer    cipher.AEAD
	macKey    []byte
	pool      *drpcpool.Pool[string, drpcpool.Conn]
	wrap      func(address string, conn net.Conn) net.Conn
}

// NewNetwork derives all keys from the cluster secret.
func NewNetwork(secret []byte) (*Network, error) {
	if len(secret) < MinSecretBytes {
		return nil, ErrSecretTooShort
	}
	tlsConfig, err := newTLSConfig(secret)
	if err != nil {
		return nil, err
	}
	sealer, err := newSealer(secret)
	if err != nil {
		return nil, err
	}
	macKey, err := deriveKey(secret, "mac")
	if err != nil {
		return nil, err
	}
	pool := drpcpool.New[string, drpcpool.Conn](drpcpool.Options{
		Expiration:  idleExpiration,
		Capacity:    maxIdleConns,
		KeyCapacity: maxIdleConnsByKey,
	})
	return &Network{tlsConfig: tlsConfig, sealer: sealer, macKey: macKey, pool: pool}, nil
}

// MACKey returns the 32-byte key for message authentication codes in cursors and run keys.
func (n *Network) MACKey() []byte { return n.macKey }

// WrapConns lets a function wrap each connection that is opened from now on, below the encryption. It must be called before
// the first call of Conn.
func (n *Network) WrapConns(wrap func(address string, conn net.Conn) net.Conn) { n.wrap = wrap }

// Conn returns a connection to the instance with the given peer address. It dials when the first call is made and
// again after a failure. Concurrent calls use separate TCP connections, because drpc carries one call at a time.
func (n *Network) Conn(address string) drpc.Conn {
	return n.pool.Get(context.Background(), address, n.dial)
}

// Close closes all idle connections.
func (n *Network) Close() error { return n.pool.Close() }

func (n *Network) dial(ctx context.Context, address string) (drpcpool.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, &DialError{address: address, cause: err}
	}
	if n.wrap != nil {
		conn = n.wrap(address, conn)
	}
	secured := tls.Client(conn, n.tlsConfig)
	if err := secured.HandshakeContext(ctx); err != nil {
		_ = conn.Close() // The failed handshake is the error that counts.
		return nil, &DialError{address: address, cause: err}
	}
	return drpcconn.New(secured), nil
}

// DialError is returned by a call whose connection could not be established, so nothing of the call was sent.
type DialError struct {
	address string
	cause   error
}

// Error implements error.
func (e *DialError) Error() string { return "dial instance " + e.address + ": " + e.cause.Error() }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.cause }

func deriveKey(secret []byte, purpose string) ([]byte, error) {
	key, err := hkdf.Key(sha256.New, secret, nil, "dragonflypond "+purpose, sha256.Size)
	return key, errors.Wrap(err, "derive key")
}

func newSealer(secret []byte) (cipher.AEAD, error) {
	key, err := deriveKey(secret, "datagram")
	if err != nil {
		return nil, err
	}
	block, err := aes.NewCipher(key)
	if err != nil {
		return nil, errors.Wrap(err, "create datagram cipher")
	}
	sealer, err := cipher.NewGCMWithRandomNonce(block)
	return sealer, errors.Wrap(err, "create datagram cipher")
}

func newTLSConfig(secret []byte) (*tls.Config, error) {
	seed, err := deriveKey(secret, "tls")
	if err != nil {
		return nil, err
	}
	key := ed25519.NewKeyFromSeed(seed)
	public := key.Public().(ed25519.PublicKey)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		Subject:      pkix.Name{CommonName: "dragonflypond"},
		// The key is pinned, so the validity period has no meaning; fixed dates avoid a dependence on clocks.
		NotBefore: time.Unix(0, 0),
		NotAfter:  time.Date(9999, 1, 1, 0, 0, 0, 0, time.UTC),
	}
	certificate, err := x509.CreateCertificate(rand.Reader, template, template, public, key)
	if err != nil {
		return nil, errors.Wrap(err, "create certificate")
	}
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		Certificates:       []tls.Certificate{{Certificate: [][]byte{certificate}, PrivateKey: key}},
		ClientAuth:         tls.RequireAnyClientCert,
		InsecureSkipVerify: true, // The pinned key below replaces the check of names and issuers.
		VerifyConnection:   pinnedKey(public),
	}, nil
}

func pinnedKey(public ed25519.PublicKey) func(tls.ConnectionState) error {
	return func(state tls.ConnectionState) error {
		if len(state.PeerCertificates) == 0 {
			return errors.New("peer presented no certificate")
		}
		key, ok := state.PeerCertificates[0].PublicKey.(ed25519.PublicKey)
		if !ok || !key.Equal(public) {
			return errors.New("peer has another cluster secret")
		}
		return nil
	}
}
