package scenario

import (
	"github.com/pkg/errors"
)

// standinPlatform is the stand-in platform or a replica of it. Daemons connect to it through a relay whose address has
// the next number.
type standinPlatform struct {
	name    string
	number  byte
	process *process
}

const (
	platformName = "platform"
	// maxPlatforms is limited by the last address byte, at most 255: each platform and its relay take one number each from
	// platformHost on.
	maxPlatforms = 2
)

func (f *fleet) platformByName(name string) *standinPlatform {
	for _, p := range f.platforms {
		if p.name == name {
			return p
		}
	}
	return nil
}

func (f *fleet) startPlatform(name string) error {
	if len(f.platforms) == maxPlatforms || f.platformByName(name) != nil {
		return errors.Errorf("scenario: can't start platform %q: it exists already, or there are %d platforms, the maximum", name, maxPlatforms)
	}
	p := &standinPlatform{name: name, number: byte(platformHost + 2*len(f.platforms))}
	f.platforms = append(f.platforms, p)
	if err := f.relays.listen(p.number+1, platformPort, f.address(p.number, platformPort), name); err != nil {
		return err
	}
	return f.runPlatform(p)
}

func (f *fleet) runPlatform(p *standinPlatform) error {
	address := f.address(p.number, platformPort).String()
	started, err := f.start(p.name+".log", "standin", "platform", "-listen", address)
	if err != nil {
		return err
	}
	p.process = started
	return f.awaitOK("http://" + address + "/v1/reads")
}
