package reach

//go:generate go tool enumer -type=Result -trimprefix=Result -transform=title-lower -output=result_enumer.go

// Result is the result of an attempt to connect to a backend server.
type Result int

// Results.
const (
	ResultConnected Result = iota
	ResultRefused
	ResultTimedOut
	// ResultCanceled is an attempt that was not needed any more.
	ResultCanceled
	// ResultBroken is a connection that was established and ended with an error before the server sent anything.
	ResultBroken
	// ResultTunneled is a connection through a helper, and ResultTunnelFailed an attempt at which all helpers failed.
	ResultTunneled
	ResultTunnelFailed
	// ResultIsolated is an attempt that failed at once, because no server can be reached.
	ResultIsolated
)
