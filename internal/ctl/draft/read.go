package draft

import (
	"context"
	"net/netip"
	"os"
	"path/filepath"

	"github.com/pkg/errors"

	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
	"github.com/foxtailhook/foxtailhook/internal/wire/platform"
)

// Paths has the file of each list; an empty path means that the list is missing.
type Paths [lists.Kinds]string

// FillFrom returns the paths, with each empty one replaced by the list's file in the folder, if there is one: plans.json,
// uses.json, keys.json or hosts.json.
func (p Paths) FillFrom(dir string) Paths {
	for k := range p {
		candidate := filepath.Join(dir, lists.Kind(k).String()+".json")
		if _, err := os.Stat(candidate); p[k] == "" && dir != "" && err == nil {
			p[k] = candidate
		}
	}
	return p
}

// Read reads the files; the error names the first that can't be read.
func Read(paths Paths) ([lists.Kinds]File, error) {
	var files [lists.Kinds]File
	for k, path := range paths {
		if path == "" {
			continue
		}
		raw, err := os.ReadFile(path)
		if err != nil {
			return files, errors.Wrap(err, "read list")
		}
		files[k] = File{Name: path, Raw: raw}
	}
	return files, nil
}

// Fetch reads the lists that the platform at the address serves now, without those that were never published; the error
// says why the platform did not respond.
func Fetch(ctx context.Context, address netip.AddrPort) ([lists.Kinds]File, error) {
	var files [lists.Kinds]File
	client := platform.New(address, netip.Addr{})
	for k := range files {
		value, err := client.Watch(ctx, lists.Kind(k), 0, 0)
		if errors.Is(err, platform.ErrUnchanged) {
			continue
		}
		if err != nil {
			return files, err
		}
		files[k] = File{Name: address.String() + "/" + value.Kind.String(), Raw: value.Raw}
	}
	return files, nil
}
