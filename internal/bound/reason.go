package bound

// Reason tells why a caller's request was refused or its connection closed.
type Reason int

//go:generate go tool enumer -type=Reason -trimprefix=Reason -transform=title-lower -output=reason_enumer.go

const (
	// ReasonLines is a head with too many lines.
	ReasonLines Reason = iota
	// ReasonMemory is a head for which there is no room beside those of other requests.
	ReasonMemory
	// ReasonIdle is an idle connection that was closed for a new one.
	ReasonIdle
	// ReasonSlow is a connection that was closed for a new one while a head was read.
	ReasonSlow
	// ReasonConnections is a new connection that was closed because all others have requests in progress.
	ReasonConnections
	// ReasonHandshake is a connection whose TLS handshake failed or took too long.
	ReasonHandshake
)
