package changes

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
)

// Daemon is one process of the measured fleet.
type Daemon struct {
	Host      string         `json:"host"`
	Zone      string         `json:"zone"`
	Peer      netip.AddrPort `json:"peer"`
	Operators netip.AddrPort `json:"operators"`
	Callers   netip.AddrPort `json:"callers"`
	PID       int            `json:"pid"`
	Log       string         `json:"log"`
}

// Plan describes a measurement.
type Plan struct {
	Platform netip.AddrPort
	Daemons  []Daemon
	// Listed is the number of hosts on the published host list. Those beyond the daemons are marked as leaving: they cost memory
	// and bytes as in a large fleet but get no messages.
	Listed        int
	Organisations int
	Changes       int
	// Idle is the length of the idle phase, Every the time between two changes.
	Idle  time.Duration
	Every time.Duration
	// OneService makes all daemons hosts of one service.
	OneService bool
}

// ReadFleet reads a JSON array of daemons from a file.
func ReadFleet(path string) ([]Daemon, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "changes: read fleet")
	}
	var all []Daemon
	return all, errors.Wrap(json.Unmarshal(raw, &all), "changes: decode fleet")
}

// services is the number of services that the listed hosts are spread over.
const services = 9

func (p *Plan) services() int {
	if p.OneService {
		return 1
	}
	return services
}

func (p *Plan) hosts() lists.Hosts {
	var list lists.Hosts
	for i, d := range p.Daemons {
		list.Hosts = append(list.Hosts, lists.Host{
			Host: d.Host, Service: fmt.Sprintf("service-%d", i%p.services()), Region: "default", Zone: d.Zone, Peer: d.Peer,
		})
	}
	for i := len(p.Daemons); i < p.Listed; i++ {
		address := netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)})
		list.Hosts = append(list.Hosts, lists.Host{
			Host: fmt.Sprintf("listed-%d", i), Service: fmt.Sprintf("service-%d", i%services), Region: "default",
			Zone: "elsewhere", Peer: netip.AddrPortFrom(address, 7001), Leaving: true,
		})
	}
	return list
}

func (p *Plan) plans() lists.Plans {
	var list lists.Plans
	for i := range p.Organisations {
		list.Organisations = append(list.Organisations, lists.Organisation{
			Organisation: fmt.Sprintf("o%d", i), Plan: "plan", Rate: 100, Burst: 100,
		})
	}
	return list
}

// keys returns the list of keys after the change with the given number, which replaces one organisation's key.
func (p *Plan) keys(change int) lists.Keys {
	var list lists.Keys
	for i := range p.Organisations {
		name := fmt.Sprintf("key-%d", i)
		if i == change%p.Organisations {
			name = fmt.Sprintf("%s-%d", name, change)
		}
		hash := sha256.Sum256([]byte(name))
		list.Keys = append(list.Keys, lists.Key{
			ID: fmt.Sprintf("k%d", i), Organisation: fmt.Sprintf("o%d", i), SHA256: hex.EncodeToString(hash[:]),
		})
	}
	return list
}

func uses() lists.Uses {
	return lists.Uses{
		Operations: []lists.Operation{{Operation: "read", Service: "service-0", Method: "GET", Path: "/", Priority: "standard", Idempotent: true}},
		Plans:      []lists.Grant{{Plan: "plan", Operations: []string{"read"}}},
	}
}
