package draft

import (
	"errors"

	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
)

// File is one list as read from disk or from the platform; an empty name means that the list is missing.
type File struct {
	Name string
	Raw  []byte
}

// Draft is a set of lists; one that is missing or has faults is nil.
type Draft struct {
	Files  [lists.Kinds]File
	Faults [lists.Kinds]lists.Faults
	Plans  *lists.Plans
	Uses   *lists.Uses
	Keys   *lists.Keys
	Hosts  *lists.Hosts
}

// Parse parses every file by the rules of the daemons and keeps all faults.
func Parse(files [lists.Kinds]File) *Draft {
	d := &Draft{Files: files}
	d.Plans = parse[lists.Plans](d, lists.KindPlans)
	d.Uses = parse[lists.Uses](d, lists.KindUses)
	d.Keys = parse[lists.Keys](d, lists.KindKeys)
	d.Hosts = parse[lists.Hosts](d, lists.KindHosts)
	return d
}

// Valid reports whether no list has a fault.
func (d *Draft) Valid() bool {
	for _, faults := range d.Faults {
		if len(faults) > 0 {
			return false
		}
	}
	return true
}

// Overlay returns base with those files replaced that files has.
func Overlay(base, files [lists.Kinds]File) [lists.Kinds]File {
	for k, f := range files {
		if f.Name != "" {
			base[k] = f
		}
	}
	return base
}

func parse[T any, P lists.Checked[T]](d *Draft, k lists.Kind) *T {
	file := d.Files[k]
	if file.Name == "" {
		return nil
	}
	value, err := lists.Parse[T, P](file.Raw)
	if err == nil {
		return value
	}
	var faults lists.Faults
	if !errors.As(err, &faults) {
		faults = lists.Faults{{Place: "value", Text: err.Error()}}
	}
	d.Faults[k] = faults
	return nil
}
