// Package member keeps the table of entry instances and carries urgent updates between them.
//
// Machine is the protocol: a state machine without goroutines that takes the current time, a random source and received
// datagrams, and returns the datagrams to send. Member runs one machine over a UDP socket and synchronises the full
// table over drpc.
//
// Each second an instance probes one other member. A probe without an answer is repeated through three other members;
// without an answer to those either the member becomes suspect, and gone after a suspicion deadline unless it refutes
// by a greater version of its own record. Updates travel on probes and acks. The in-effect manifest version is part of
// every datagram. Leaving instances, notices about backend servers and new manifests are pushed at once to four random
// members, which push them once more.
//
// Records of one incarnation are ordered by a version that only the member itself increments. A record of another
// incarnation replaces the known one only if that one is gone or the new one answered a probe directly. A claim that a
// member is gone is never applied to a member that is live here: it causes a direct probe, so that tables of two
// regions merge after a partition without marking each other's members gone.
//
// # Usage
//
//	m, err := member.New(member.Options{Self: self, Network: network, Conn: conn, Seeds: seeds})
//	if err := m.Register(server.Mux()); err != nil {
//		return err
//	}
//	go m.Run(ctx)
//
//	home := member.Rank(m, "pool/MODEL/REGION", member.InRegion("norte"))[0]
package member
