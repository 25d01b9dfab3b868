// Package peer provides the transport between entry instances: drpc over TLS 1.3 for calls and streams, and encrypted
// datagrams for membership.
//
// Every instance of a deployment derives the same Ed25519 key from the cluster secret. Both ends of a connection
// present a certificate with that key and accept no other, so a process with a wrong or missing secret cannot complete
// a handshake. Datagrams are encrypted with AES-256-GCM under another key derived from the same secret.
//
// # Usage
//
//	network, err := peer.NewNetwork(secret)
//	server := network.NewServer()
//	peerpb.DRPCRegisterMembers(server.Mux(), members)
//	go server.Serve(ctx, listener)
//
//	client := peerpb.NewDRPCMembersClient(network.Conn("127.0.0.1:7101"))
package peer
