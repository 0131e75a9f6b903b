package config

import (
	"fmt"

	"github.com/endivewalk/endivewalk/internal/jsonc"
)

// Document is the content of an operator's file: objects to put, and keys of
// objects to remove. Objects that are in neither stay as they are. Create one
// with Parse. It may be read concurrently.
type Document struct {
	Units      []Unit       `json:"units,omitempty"`
	Templates  []Template   `json:"templates,omitempty"`
	Parameters []Parameters `json:"parameters,omitempty"`
	Contracts  []Contract   `json:"contracts,omitempty"`
	Services   []Service    `json:"services,omitempty"`
	Remove     []Key        `json:"remove,omitempty"`

	objects []Object       // In the order of the sections.
	paths   map[Key]string // Path within the file of each object to put.
	file    *jsonc.File
}

// Parse reads an operator's file, which is JSON with comments. The name is used
// in error messages only. If the file is invalid, Parse returns Problems with
// every fault and its line.
func Parse(name string, data []byte) (*Document, error) {
	d := &Document{paths: map[Key]string{}}
	d.file = jsonc.Decode(name, data, d)
	if err := d.file.Err(); err != nil {
		return nil, err
	}
	addAll(d, "units", d.Units)
	addAll(d, "templates", d.Templates)
	addAll(d, "parameters", d.Parameters)
	addAll(d, "contracts", d.Contracts)
	addAll(d, "services", d.Services)
	d.checkRemovals()
	if len(d.objects)+len(d.Remove) == 0 {
		d.file.Report("", "the file neither puts nor removes anything")
	}
	if err := d.file.Err(); err != nil {
		return nil, err
	}
	return d, nil
}

// Objects returns the objects to put, in the order of the file's sections.
// Callers must not modify the slice.
func (d *Document) Objects() []Object { return d.objects }

// Locate returns the Problem for a fault in the object with the given key, at
// path within it. The problem has the place of the object in the file or, if
// the file does not put the object, only a path that starts with the key.
func (d *Document) Locate(key Key, path, reason string) Problem {
	objectPath, ok := d.paths[key]
	if !ok {
		return Problem{Path: string(key) + memberSuffix(path), Reason: reason}
	}
	f := *d.file
	f.Report(objectPath+memberSuffix(path), "%s", reason)
	problems := f.Err().(jsonc.Problems)
	return problems[len(problems)-1]
}

// memberSuffix returns path in the form that can be appended to the path of an
// object.
func memberSuffix(path string) string {
	if path == "" || path[0] == '[' {
		return path
	}
	return "." + path
}

// addAll adds the objects of one section of the file.
func addAll[T any](d *Document, section string, values []T) {
	for i, v := range values {
		d.add(fmt.Sprintf("%s[%d]", section, i), v)
	}
}

// add adds the object at path, or reports why it is invalid.
func (d *Document) add(path string, value any) {
	o, err := MakeObject(value)
	if err != nil {
		d.file.Report(path, "%v", err)
		return
	}
	if !o.Key.Valid() {
		d.file.Report(path, "%q is no valid name: want lower case letters, digits and inner hyphens", o.Key.Name())
		return
	}
	if firstPath, ok := d.paths[o.Key]; ok {
		d.file.Report(path, "%s stands twice, first as %s", o.Key, firstPath)
		return
	}
	d.paths[o.Key] = path
	d.objects = append(d.objects, o)
}

func (d *Document) checkRemovals() {
	for i, key := range d.Remove {
		path := fmt.Sprintf("remove[%d]", i)
		switch {
		case !key.Valid():
			d.file.Report(path, "%q is no valid key; want one such as \"template/booking\"", key)
		case key.Kind() == KindMove:
			d.file.Report(path, "moves can't be removed; they end by themselves")
		case d.paths[key] != "":
			d.file.Report(path, "%s is put by the same file, as %s", key, d.paths[key])
		}
	}
}
