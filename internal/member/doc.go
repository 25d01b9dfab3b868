// Package member maintains the membership table of entry instances and disseminates urgent updates by gossip.
//
// The protocol resembles SWIM. Machine implements it as a state machine without goroutines: it takes the current time,
// a random source and received datagrams, and returns the datagrams to send. Member runs one Machine over a UDP socket
// and synchronises the full table over drpc.
//
// Twice a second an instance probes one other member. If there is no ack, three other members are asked to probe it too.
// If those probes also fail, the member becomes suspect, and gone when the suspicion deadline passes, unless it refutes
// the suspicion with a greater version of its own record. Updates are piggybacked on probes and acks. Every datagram
// carries the version of the manifest in effect. Leaving instances, notices about backend servers and new manifests are
// pushed at once to four random members, and twice more to others. A member that learns of one from a datagram does the
// same.
//
// Records of one incarnation are ordered by a version that only the member itself increments. A record of another
// incarnation replaces the known one only if that one is gone or the new one answered a probe directly. A report that a
// member is gone is never applied to a member that is live in the local table. It causes a direct probe instead, so
// that the tables of two regions merge after a partition without marking each other's members gone.
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
