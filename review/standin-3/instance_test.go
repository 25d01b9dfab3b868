package standin

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// metricsPort is where the command of the deploy file serves metrics.
const metricsPort = ":9464"

var zones = []string{"attiki-a", "makedonia-a", "attiki-b"}

// Offsets of the ports of an instance from the first one. They are the same on all machines.
const (
	frontOffset = iota
	readyOffset
	controlOffset
	directoryOffset
	internalOffset
	portCount = internalOffset + 16
)

// machine is one machine of the system, whose process is started again whenever it ends.
type machine struct {
	system   *system
	name, ip string
	settings string
	log      *os.File

	mu      sync.Mutex
	process *exec.Cmd
	starts  int
	holdOff time.Duration // from the end of a process to the next start
	stopped bool
}

// system is all machines.
type system struct {
	program  string
	dir      string
	store    *store
	record   *record
	port     int
	machines []*machine
}

// newSystem starts machines in three zones, with the settings of a small deployment.
func newSystem(program, dir string, store *store, record *record, machines int) (*system, error) {
	s := &system{program: program, dir: dir, store: store, record: record}
	subnet := fmt.Sprintf("127.%d.%d", 64+os.Getpid()/250%128, 1+os.Getpid()%250)
	for n := range machines {
		s.machines = append(s.machines, &machine{
			system: s, name: fmt.Sprintf("edge-%s-%d", zones[n%len(zones)], 1+n/len(zones)), ip: fmt.Sprintf("%s.%d", subnet, 10+n),
			holdOff: 300 * time.Millisecond,
		})
	}
	if err := s.choosePort(); err != nil {
		return nil, err
	}
	for _, m := range s.machines {
		if err := m.prepare(); err != nil {
			return nil, err
		}
	}
	for _, m := range s.machines {
		if err := m.start(); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// choosePort finds a first port from which all ports are free on all machines.
func (s *system) choosePort() error {
	for s.port = 21000; s.port < 30000; s.port += 100 {
		if s.portsFree() {
			return nil
		}
	}
	return errors.New("no free ports")
}

func (s *system) portsFree() bool {
	for _, m := range s.machines {
		addresses := []string{m.ip + metricsPort}
		for offset := range portCount {
			addresses = append(addresses, m.address(offset))
		}
		for _, address := range addresses {
			listener, err := net.Listen("tcp", address)
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

func (m *machine) address(offset int) string { return fmt.Sprintf("%s:%d", m.ip, m.system.port+offset) }

// prepare writes the settings of a machine.
func (m *machine) prepare() error {
	s := m.system
	var seeds []string
	for _, seed := range s.machines[:min(len(s.machines), 3)] {
		seeds = append(seeds, fmt.Sprintf("%q", seed.address(controlOffset)))
	}
	zone := strings.TrimSuffix(strings.TrimPrefix(m.name, "edge-"), m.name[strings.LastIndexByte(m.name, '-'):])
	region, _, _ := strings.Cut(zone, "-")
	text := fmt.Sprintf(`nodeName = %q
role = "instance"
machineClass = "edge"
serves = ["edge","control_plane","directory"]
ip = %q
zone = %q
region = %q
internalPorts = [%d,%d]
seeds = [%s]
bootstrap = true
countsAsLoss = false
discovery = "platform"
entry = "directory"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]
[zones]
attiki-a = "attiki"
makedonia-a = "makedonia"
attiki-b = "attiki"
[listen]
front = %q
ready = %q
control = %q
directory = %q
[limits]
cpuShare = 0.4
cores = 1
memoryMb = 134
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 1
zones = 0
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 4000
ackMs = 5000
catchUpS = 4
drainMs = 3000
graceS = 8
lossSlackMs = 200
configApplyMs = 3000
downgradeSlackMs = 250
maxStretchMs = 6000
revokeFailClosed = true
revokeMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
retryBudgetSlack = 58
recoveryS = 12
passMs = 400
reuseWindowS = 4.3
ttl_max_s = 5
[platform]
address = %q
form = "read"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
`, m.name, m.ip, zone, region, s.port+internalOffset, s.port+portCount-1, strings.Join(seeds, ","),
		m.address(frontOffset), m.address(readyOffset), m.address(controlOffset), m.address(directoryOffset), s.store.address)
	m.settings = filepath.Join(s.dir, m.name+".toml")
	if err := os.WriteFile(m.settings, []byte(text), 0o600); err != nil {
		return err
	}
	var err error
	m.log, err = os.Create(filepath.Join(s.dir, m.name+".log"))
	return err
}

// start starts the process with the command of the deploy file.
func (m *machine) start() error {
	cmd := exec.Command(m.system.program, "instance")
	cmd.Env = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "DRAGONFLYPOND_CONFIG=" + m.settings,
		"DRAGONFLYPOND_SECRET=a secret for traffic between instances of this deployment",
	}
	cmd.Stdout, cmd.Stderr = m.log, m.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped {
		return nil
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	m.process = cmd
	m.starts++
	m.system.record.log("machine %s starts, process %d", m.name, cmd.Process.Pid)
	go m.supervise(cmd)
	return nil
}

func (m *machine) supervise(cmd *exec.Cmd) {
	err := cmd.Wait()
	m.mu.Lock()
	stopped, holdOff := m.stopped, m.holdOff
	m.mu.Unlock()
	if stopped {
		return
	}
	m.system.record.log("machine %s: its process has ended: %v", m.name, err)
	time.Sleep(holdOff)
	if err := m.start(); err != nil {
		m.system.record.say("machine %s does not start: %v", m.name, err)
	}
}

// signal sends a signal to the process.
func (m *machine) signal(signal os.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.system.record.log("machine %s gets %v", m.name, signal)
	_ = m.process.Process.Signal(signal)
}

func (m *machine) ready() bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	resp, err := client.Get("http://" + m.address(readyOffset) + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all machines are ready.
func (s *system) awaitReady(limit time.Duration) error {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		all := true
		for _, m := range s.machines {
			all = all && m.ready()
		}
		if all {
			return nil
		}
	}
	return errors.New("the machines are not ready")
}

// stop ends all processes.
func (s *system) stop() {
	for _, m := range s.machines {
		m.mu.Lock()
		m.stopped = true
		if m.process != nil {
			_ = m.process.Process.Kill()
		}
		m.mu.Unlock()
	}
}
