package config

import (
	"fmt"

	"github.com/endivewalk/endivewalk/internal/jsonc"
)

// Document is an operator's file: the objects to put, and the keys of those to
// remove. Objects that it does not name stay as they are.
type Document struct {
	Units      []Unit       `json:"units,omitempty"`
	Templates  []Template   `json:"templates,omitempty"`
	Parameters []Parameters `json:"parameters,omitempty"`
	Contracts  []Contract   `json:"contracts,omitempty"`
	Services   []Service    `json:"services,omitempty"`
	Remove     []Key        `json:"remove,omitempty"`

	objects []Object
	paths   map[Key]string
	file    *jsonc.File
}

// Parse reads an operator's file, which is JSON with comments. The error, if
// any, is a Problems that names every fault with its line.
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
func (d *Document) Objects() []Object { return d.objects }

// Locate gives a problem found with an object the place of that object in the
// file, if the file holds it.
func (d *Document) Locate(key Key, path, reason string) Problem {
	at, ok := d.paths[key]
	if !ok {
		return Problem{Path: string(key) + dotted(path), Reason: reason}
	}
	f := *d.file
	f.Report(at+dotted(path), "%s", reason)
	problems := f.Err().(jsonc.Problems)
	return problems[len(problems)-1]
}

func dotted(path string) string {
	if path == "" || path[0] == '[' {
		return path
	}
	return "." + path
}

func addAll[T any](d *Document, section string, values []T) {
	for i, v := range values {
		d.add(fmt.Sprintf("%s[%d]", section, i), v)
	}
}

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
	if first, ok := d.paths[o.Key]; ok {
		d.file.Report(path, "%s stands twice, first as %s", o.Key, first)
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
