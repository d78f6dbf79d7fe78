package draft

import (
	"errors"

	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
)

// File is one value as it lies on disk or came from the platform; without a name it isn't there.
type File struct {
	Name string
	Raw  []byte
}

// Draft is the lists at hand; a list that is missing or has faults is nil.
type Draft struct {
	Files  [lists.Kinds]File
	Faults [lists.Kinds]lists.Faults
	Plans  *lists.Plans
	Uses   *lists.Uses
	Keys   *lists.Keys
	Hosts  *lists.Hosts
}

// Parse reads every file by the rules that the daemons follow and keeps all their faults.
func Parse(files [lists.Kinds]File) *Draft {
	d := &Draft{Files: files}
	d.Plans = parse[lists.Plans](d, lists.KindPlans)
	d.Uses = parse[lists.Uses](d, lists.KindUses)
	d.Keys = parse[lists.Keys](d, lists.KindKeys)
	d.Hosts = parse[lists.Hosts](d, lists.KindHosts)
	return d
}

// Sound reports whether no list has a fault.
func (d *Draft) Sound() bool {
	for _, faults := range d.Faults {
		if len(faults) > 0 {
			return false
		}
	}
	return true
}

// Over returns the files at hand with those of base where there is none.
func Over(base, files [lists.Kinds]File) [lists.Kinds]File {
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
