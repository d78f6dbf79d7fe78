package scenario

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Each scenario has its own loopback network: host N has the address 127.net.scenario.N,
// and its relay, through which the others connect to it, 127.net.scenario.(100+N).
const (
	relayOffset  = 100
	platformHost = 250

	callersPort   = 7000
	peersPort     = 7001
	operatorsPort = 7002
	upstreamPort  = 8000
	platformPort  = 9000
)

var scenarioCount atomic.Int32

const (
	reserveAddress = 254
	reservePort    = 9
)

// reserved keeps the listener referenced: the garbage collector would close it.
var reserved net.Listener

// network returns the second byte of the addresses of this test run. A listener
// reserves it for the whole run: if it were derived from the process id alone, two
// runs on one machine could start their daemons on the same addresses.
var network = sync.OnceValue(func() byte {
	for offset := range 250 {
		n := byte(1 + (os.Getpid()+offset)%250)
		reservation := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, n, 255, reserveAddress}), reservePort)
		if l, err := net.Listen("tcp", reservation.String()); err == nil {
			reserved = l
			return n
		}
	}
	panic("scenario: none of 250 loopback networks is free")
})

// fleet holds the processes and the network of one scenario.
type fleet struct {
	bin       string
	dir       string
	net       byte
	scenario  byte
	hosts     map[string]*host
	hostNames []string
	relays    *relays
	// platforms are the platform and its replicas, in the order of their start.
	platforms    []*standinPlatform
	load         *load
	keyed        *load
	paced        *load
	heads        *endlessHeads
	pendingSends map[sendTag]*pendingSend
}

// host is one upstream host: a daemon and the stand-in upstream beside it.
type host struct {
	name          string
	service       string
	region        string
	zone          string
	platform      string
	number        byte
	flags         []string
	upstreamFlags []string
	daemon        *process
	upstream      *process
}

// process is a started program.
type process struct {
	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

func newFleet(bin, dir string) *fleet {
	f := &fleet{
		bin: bin, dir: dir, hosts: map[string]*host{}, pendingSends: map[sendTag]*pendingSend{},
		net:      network(),
		scenario: byte(1 + scenarioCount.Add(1)%250),
	}
	f.relays = newRelays(f)
	return f
}

func (f *fleet) address(last byte, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, f.net, f.scenario, last}), port)
}

func (f *fleet) start(log, program string, args ...string) (*process, error) {
	out, err := os.OpenFile(filepath.Join(f.dir, log), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, errors.Wrap(err, "scenario: log")
	}
	cmd := exec.Command(filepath.Join(f.bin, program), args...)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return nil, errors.Wrapf(err, "scenario: start %s", program)
	}
	p := &process{cmd: cmd, done: make(chan struct{})}
	go func() {
		p.err = cmd.Wait()
		_ = out.Close()
		close(p.done)
	}()
	return p, nil
}

func (p *process) signal(s syscall.Signal) error {
	if p == nil {
		return errors.New("scenario: not started")
	}
	return p.cmd.Process.Signal(s)
}

// kill kills a process, also a paused one, and waits for its end.
func (p *process) kill() {
	if p == nil {
		return
	}
	_ = p.signal(syscall.SIGKILL)
	<-p.done
}

// addHost starts a host's upstream and daemon; flags that begin with "up:" go to the upstream.
func (f *fleet) addHost(name, service, zone string, flags []string) error {
	h := &host{name: name, service: service, region: "default", zone: zone, platform: platformName, number: byte(len(f.hostNames) + 1)}
	for _, flag := range flags {
		if rest, ok := strings.CutPrefix(flag, "up:"); ok {
			h.upstreamFlags = append(h.upstreamFlags, "-"+rest)
		} else if rest, ok := strings.CutPrefix(flag, "region="); ok {
			h.region = rest
		} else if rest, ok := strings.CutPrefix(flag, "platform="); ok {
			h.platform = rest
		} else {
			h.flags = append(h.flags, "-"+f.expandPeers(flag))
		}
	}
	if f.platformByName(h.platform) == nil {
		return errors.Errorf("scenario: no platform %q", h.platform)
	}
	f.relays.register(f.address(h.number, 0).Addr(), name)
	f.hosts[name] = h
	f.hostNames = append(f.hostNames, name)
	if err := f.relays.listen(relayOffset+h.number, peersPort, f.address(h.number, peersPort), name); err != nil {
		return err
	}
	if err := f.startUpstream(h); err != nil {
		return err
	}
	return f.startDaemon(h)
}

// expandPeers replaces each @NAME by the address of the host's relay, through which its peers connect.
func (f *fleet) expandPeers(flag string) string {
	for name, h := range f.hosts {
		flag = strings.ReplaceAll(flag, "@"+name, f.address(relayOffset+h.number, peersPort).String())
	}
	return flag
}

func (f *fleet) startUpstream(h *host) error {
	args := []string{
		"upstream", "-listen", f.address(h.number, upstreamPort).String(),
		"-daemon", f.address(h.number, callersPort).String(), "-host", h.name, "-service", h.service,
	}
	p, err := f.start(h.name+".upstream.log", "standin", append(args, h.upstreamFlags...)...)
	h.upstream = p
	return err
}

func (f *fleet) startDaemon(h *host) error {
	args := []string{
		"-host", h.name, "-service", h.service, "-region", h.region, "-zone", h.zone,
		"-callers", f.address(h.number, callersPort).String(),
		"-peers", f.address(h.number, peersPort).String(),
		"-advertise", f.address(relayOffset+h.number, peersPort).String(),
		"-operators", f.address(h.number, operatorsPort).String(),
		"-upstream", f.address(h.number, upstreamPort).String(),
		"-platform", f.address(f.platformByName(h.platform).number+1, platformPort).String(),
		"-watch", "2s", "-leave-time", "500ms",
	}
	p, err := f.start(h.name+".log", "foxtailhook", append(args, h.flags...)...)
	h.daemon = p
	return err
}

const pollInterval = 20 * time.Millisecond

// awaitOK polls a URL until it answers 200.
func (f *fleet) awaitOK(url string) error {
	for deadline := time.Now().Add(eventTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		res, err := http.Get(url)
		if err != nil {
			continue
		}
		_ = res.Body.Close()
		if res.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.Errorf("scenario: %s did not answer 200 within %s", url, eventTimeout)
}

func (f *fleet) awaitReady(names ...string) error {
	for _, name := range names {
		h, ok := f.hosts[name]
		if !ok {
			return errors.Errorf("scenario: no host %q", name)
		}
		if err := f.awaitOK(fmt.Sprintf("http://%s/healthz", f.address(h.number, operatorsPort))); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) stop() {
	for _, name := range f.hostNames {
		f.hosts[name].daemon.kill()
		f.hosts[name].upstream.kill()
	}
	for _, p := range f.platforms {
		p.process.kill()
	}
	f.relays.stop()
}

var crashPattern = regexp.MustCompile(`(?m)^(panic: |fatal error: |WARNING: DATA RACE)`)

// crashOutput returns what a crashed process wrote to its log, or "" if none crashed. Without this check, a crash while a
// daemon shuts down would pass for its exit.
func (f *fleet) crashOutput() string {
	logs, _ := filepath.Glob(filepath.Join(f.dir, "*.log"))
	for _, log := range logs {
		raw, err := os.ReadFile(log)
		if err != nil {
			continue
		}
		if at := crashPattern.FindIndex(raw); at != nil {
			return filepath.Base(log) + ": " + string(raw[at[0]:min(at[0]+maxCrashBytes, len(raw))])
		}
	}
	return ""
}

const maxCrashBytes = 4000
