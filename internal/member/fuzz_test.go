package member

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/dragonflypond/dragonflypond/internal/peerpb"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// FuzzReceive guards against datagrams of another release, or of a faulty instance, that end the process, that change what an instance says of
// itself, or after which it probes nobody.
func FuzzReceive(f *testing.F) {
	for _, d := range []*peerpb.Datagram{
		{Kind: peerpb.Datagram_KIND_PROBE, Sender: report(5, 1, pond.InstanceLive)},
		{Kind: 99, Sender: &peerpb.Member{Id: "other", State: 1 << 31, PeerAddress: "127.0.0.1:99999"},
			Members: []*peerpb.Member{{Id: "self", Incarnation: 1, Version: 1 << 63}, nil}},
	} {
		data, err := proto.Marshal(d)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data, "127.0.0.2:2")
	}
	f.Fuzz(func(t *testing.T, data []byte, from string) {
		d := new(peerpb.Datagram)
		if proto.Unmarshal(data, d) != nil {
			return
		}
		m := newTestMachine()
		m.merge(testStart, &peerpb.Member{Id: "third", Incarnation: 7, Version: 1, State: uint32(pond.InstanceLive),
			HttpAddress: "127.0.0.3:1", PeerAddress: "127.0.0.3:2", DataCentre: "norte-1", Region: "norte"}, false)
		m.Receive(testStart, from, d)
		probed := false
		for now := testStart; now.Before(testStart.Add(5 * time.Second)); now = now.Add(100 * time.Millisecond) {
			probed = len(m.Tick(now)) > 0 || probed
		}
		if self := m.self.instance; self.ID() != "self" || self.PeerAddress() != "127.0.0.1:2" || m.self.state() != pond.InstanceLive {
			t.Errorf("the instance takes itself for %+v in state %v", self, m.self.state())
		}
		if !probed {
			t.Error("the instance probes nobody")
		}
	})
}
