package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"regexp"
	"slices"
	"testing"
	"time"
)

// heldSeed stands in for a seed of an instance: it forwards the datagrams of membership to another instance, and takes connections without a
// word, so that who starts is known to the others and gets no records.
type heldSeed struct {
	listener net.Listener
	conn     net.PacketConn
	target   *net.UDPAddr
}

// newHeldSeed opens the stand-in at an IP address. What it receives is forwarded to the instance with another IP address.
func newHeldSeed(t *testing.T, ip, targetIP string) *heldSeed {
	t.Helper()
	address := fmt.Sprintf("%s:%d", ip, firstPeerPort)
	s := &heldSeed{target: &net.UDPAddr{IP: net.ParseIP(targetIP), Port: firstPeerPort}}
	var err error
	if s.listener, err = net.Listen("tcp", address); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.listener.Close() })
	if s.conn, err = net.ListenPacket("udp", address); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.conn.Close() })
	go s.forward()
	go s.hold(t)
	return s
}

func (s *heldSeed) forward() {
	buffer := make([]byte, 64<<10)
	for {
		n, from, err := s.conn.ReadFrom(buffer)
		if err != nil {
			return
		}
		if sender, ok := from.(*net.UDPAddr); ok && !sender.IP.Equal(s.target.IP) {
			_, _ = s.conn.WriteTo(buffer[:n], s.target) // A datagram may be lost.
		}
	}
}

func (s *heldSeed) hold(t *testing.T) {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		t.Cleanup(func() { _ = conn.Close() })
	}
}

// namedAt returns the addresses in the response of an instance to a lookup.
func namedAt(ctx context.Context, ip string) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+ip+resolvePort+"/resolve?region=north&zone=north-a", nil)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	var response struct{ Addresses []string }
	err = json.NewDecoder(resp.Body).Decode(&response)
	return response.Addresses, err
}

// TestStartingInstanceIsNotNamed guards against lookups that name an instance which has just started and has no configuration yet: it refuses all
// requests. Its way to the store and to the records of its seeds is held back, while membership knows it.
func TestStartingInstanceIsNotNamed(t *testing.T) {
	t.Parallel()
	const (
		starts = 3
		// nameLimit is the time from the readiness of an instance until the others name it.
		nameLimit = 3 * time.Second
	)
	c := newCluster(t, buildReleases(t), 0, 3)
	if !c.waitReady(10 * time.Second) {
		t.Fatal("not every instance is ready within 10 s")
	}
	held := c.instances[2]
	seedIP := c.subnet + ".200"
	newHeldSeed(t, seedIP, c.instances[0].ip)
	settings, err := os.ReadFile(held.settingsPath)
	if err != nil {
		t.Fatal(err)
	}
	settings = regexp.MustCompile(`(?m)^seeds = .*$`).ReplaceAll(settings, fmt.Appendf(nil, `seeds = ["%s:1"]`, seedIP))
	if err := os.WriteFile(held.settingsPath, settings, 0o600); err != nil {
		t.Fatal(err)
	}
	for range starts {
		held.storeProxy.impair(true, 0)
		if !held.stop() {
			t.Errorf("%s did not exit within its grace period", held.name)
		}
		early, asked := 0, 0
		for !isReady(held.ip) {
			for _, other := range c.instances[:2] {
				addresses, err := namedAt(t.Context(), other.ip)
				if err != nil {
					t.Fatal(err)
				}
				// It counts only if the instance is not ready after the response either.
				if asked++; slices.Contains(addresses, held.ip+frontPort) && answersNotReady(held.ip) {
					early++
				}
			}
			time.Sleep(5 * time.Millisecond)
		}
		if early > 0 {
			t.Errorf("%d of %d lookups name an instance that is starting", early, asked)
		}
		held.storeProxy.impair(false, 0)
		for _, other := range c.instances[:2] {
			if named := namedWithin(t, other.ip, held.ip+frontPort, nameLimit); !named {
				t.Errorf("%s does not name an instance %v after it is ready", other.name, nameLimit)
			}
		}
	}
}

// namedWithin reports whether the instance with an IP address names a front address before limit has passed.
func namedWithin(t *testing.T, ip, front string, limit time.Duration) bool {
	t.Helper()
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		addresses, err := namedAt(t.Context(), ip)
		if err != nil {
			t.Fatal(err)
		}
		if slices.Contains(addresses, front) {
			return true
		}
	}
	return false
}

// answersNotReady reports whether the instance with an IP address runs and says that it is not ready.
func answersNotReady(ip string) bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + ip + readyPort + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode != http.StatusOK
}
