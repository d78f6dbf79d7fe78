package scenario

import (
	"github.com/pkg/errors"
)

// standinPlatform is the platform or a replica of it, which daemons reach through a relay at the next number.
type standinPlatform struct {
	name    string
	number  byte
	process *process
}

const (
	platformName = "platform"
	// mostPlatforms is as many as have numbers, each with its relay, up to 255.
	mostPlatforms = 2
)

func (f *fleet) platformOf(name string) *standinPlatform {
	for _, p := range f.platforms {
		if p.name == name {
			return p
		}
	}
	return nil
}

func (f *fleet) startPlatform(name string) error {
	if len(f.platforms) == mostPlatforms || f.platformOf(name) != nil {
		return errors.Errorf("scenario: no second %q, and no more than %d platforms", name, mostPlatforms)
	}
	p := &standinPlatform{name: name, number: byte(platformHost + 2*len(f.platforms))}
	f.platforms = append(f.platforms, p)
	if err := f.relays.listen(p.number+1, platformPort, f.address(p.number, platformPort), name); err != nil {
		return err
	}
	return f.runPlatform(p)
}

func (f *fleet) runPlatform(p *standinPlatform) error {
	at := f.address(p.number, platformPort).String()
	started, err := f.start(p.name+".log", "standin", "platform", "-listen", at)
	if err != nil {
		return err
	}
	p.process = started
	return f.await("http://" + at + "/v1/reads")
}
