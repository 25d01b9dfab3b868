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

	dialTimeout            = time.Second
	idleTimeout            = time.Minute
	maxIdleConns           = 512
	maxIdleConnsPerAddress = 8
)

// ErrSecretTooShort is returned for a cluster secret of fewer than MinSecretBytes bytes.
var ErrSecretTooShort = errors.Errorf("cluster secret must have at least %d bytes", MinSecretBytes)

// Network holds the keys of a deployment and a pool of connections to other instances. It is safe for concurrent use.
type Network struct {
	tlsConfig *tls.Config
	aead      cipher.AEAD
	macKey    []byte
	pool      *drpcpool.Pool[string, drpcpool.Conn]
	wrapConn  func(address string, conn net.Conn) net.Conn
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
	aead, err := newAEAD(secret)
	if err != nil {
		return nil, err
	}
	macKey, err := deriveKey(secret, "mac")
	if err != nil {
		return nil, err
	}
	pool := drpcpool.New[string, drpcpool.Conn](drpcpool.Options{
		Expiration:  idleTimeout,
		Capacity:    maxIdleConns,
		KeyCapacity: maxIdleConnsPerAddress,
	})
	return &Network{tlsConfig: tlsConfig, aead: aead, macKey: macKey, pool: pool}, nil
}

// MACKey returns the 32-byte key for the message authentication codes of cursors and run keys.
func (n *Network) MACKey() []byte { return n.macKey }

// WrapConns sets a function that wraps each TCP connection before the TLS handshake. It must be called before the first
// call of Conn.
func (n *Network) WrapConns(wrap func(address string, conn net.Conn) net.Conn) { n.wrapConn = wrap }

// Conn returns a connection to the instance with the given peer address. It dials when the first call is made and
// again after a failure. Concurrent calls use separate TCP connections, because a drpc connection carries one call at a
// time.
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
	if n.wrapConn != nil {
		conn = n.wrapConn(address, conn)
	}
	tlsConn := tls.Client(conn, n.tlsConfig)
	if err := tlsConn.HandshakeContext(ctx); err != nil {
		_ = conn.Close() // The handshake error takes precedence.
		return nil, &DialError{address: address, cause: err}
	}
	return drpcconn.New(tlsConn), nil
}

// DialError is returned by a call whose connection could not be established. No part of the call was sent.
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

func newAEAD(secret []byte) (cipher.AEAD, error) {
	key, err := deriveKey(secret, "datagram")
	if err != nil {
		return nil, err
	}
	block, err := aes.NewCipher(key)
	if err != nil {
		return nil, errors.Wrap(err, "create datagram cipher")
	}
	aead, err := cipher.NewGCMWithRandomNonce(block)
	return aead, errors.Wrap(err, "create datagram cipher")
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
		// The key is pinned and the validity period is not checked; fixed dates avoid a dependence on clocks.
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
		InsecureSkipVerify: true, // VerifyConnection checks the pinned key instead of names and issuers.
		VerifyConnection:   verifyPinnedKey(public),
	}, nil
}

func verifyPinnedKey(public ed25519.PublicKey) func(tls.ConnectionState) error {
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
