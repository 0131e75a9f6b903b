// Package jsonc reads JSON with comments strictly: unknown members, wrong
// types and missing required members are all reported at once, each with its
// file, line and reason.
package jsonc

import (
	"encoding"
	"encoding/json"
	"fmt"
	"reflect"
	"sort"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
	"github.com/zeebo/errs"
)

// ErrInvalid is matched by every Problems value.
var ErrInvalid = errs.New("invalid input")

// Problem is one thing that is wrong with a file. Line and Column count from
// one; zero means that no place is known.
type Problem struct {
	File   string `json:"file,omitempty"`
	Line   int    `json:"line,omitempty"`
	Column int    `json:"column,omitempty"`
	Path   string `json:"path,omitempty"`
	Reason string `json:"reason"`
}

// String returns the problem as file:line:column: path: reason.
func (p Problem) String() string {
	var b strings.Builder
	if p.File != "" {
		b.WriteString(p.File + ":")
	}
	if p.Line > 0 {
		fmt.Fprintf(&b, "%d:%d:", p.Line, p.Column)
	}
	if b.Len() > 0 {
		b.WriteString(" ")
	}
	if p.Path != "" {
		b.WriteString(p.Path + ": ")
	}
	b.WriteString(p.Reason)
	return b.String()
}

// Problems is a list of problems that serves as an error.
type Problems []Problem

// Error returns one line for each problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, one := range p {
		lines[i] = one.String()
	}
	return strings.Join(lines, "\n")
}

// Is reports whether target is ErrInvalid.
func (p Problems) Is(target error) bool { return target == ErrInvalid }

// File is a decoded file. It remembers where each member stands, so that
// later checks can name the line.
type File struct {
	name   string
	data   []byte
	places map[string]int
	found  Problems
}

// Decode reads data into the struct that into points to. Members are matched
// by their json tags; a tag `jsonc:"required"` makes a member required. The
// File is usable even if problems were found.
func Decode(name string, data []byte, into any) *File {
	f := &File{name: name, data: data, places: map[string]int{}}
	tree, err := hujson.Parse(data)
	if err != nil {
		f.found = append(f.found, Problem{File: name, Reason: strings.TrimPrefix(err.Error(), "hujson: ")})
		return f
	}
	f.value(&tree, reflect.ValueOf(into).Elem(), "")
	return f
}

// Report adds a problem found by a later check, at the place of path or, if
// that is absent, of its nearest ancestor.
func (f *File) Report(path, format string, args ...any) {
	f.found = append(f.found, f.at(path, fmt.Sprintf(format, args...)))
}

// Err returns all problems in the order of their lines, or nil.
func (f *File) Err() error {
	if len(f.found) == 0 {
		return nil
	}
	sort.SliceStable(f.found, func(i, j int) bool { return f.found[i].Line < f.found[j].Line })
	return f.found
}

func (f *File) at(path, reason string) Problem {
	p := Problem{File: f.name, Path: path, Reason: reason}
	for at := path; ; at = parent(at) {
		if offset, ok := f.places[at]; ok {
			p.Line, p.Column = f.position(offset)
			return p
		}
		if at == "" {
			return p
		}
	}
}

func parent(path string) string {
	return path[:max(0, strings.LastIndexAny(path, ".["))]
}

func (f *File) position(offset int) (line, column int) {
	before := string(f.data[:min(offset, len(f.data))])
	return strings.Count(before, "\n") + 1, len(before) - strings.LastIndex(before, "\n")
}

func (f *File) value(v *hujson.Value, into reflect.Value, path string) {
	f.places[path] = v.StartOffset
	if u, ok := into.Addr().Interface().(encoding.TextUnmarshaler); ok {
		f.text(v, u, path)
		return
	}
	if raw, ok := into.Addr().Interface().(*json.RawMessage); ok {
		*raw = append((*raw)[:0], f.data[v.StartOffset:v.EndOffset]...)
		return
	}
	switch into.Kind() {
	case reflect.Pointer:
		into.Set(reflect.New(into.Type().Elem()))
		f.value(v, into.Elem(), path)
	case reflect.Struct:
		f.object(v, into, path)
	case reflect.Map:
		f.mapping(v, into, path)
	case reflect.Slice:
		f.array(v, into, path)
	default:
		f.literal(v, into, path)
	}
}

func (f *File) text(v *hujson.Value, u encoding.TextUnmarshaler, path string) {
	lit, ok := v.Value.(hujson.Literal)
	if !ok || lit.Kind() != '"' {
		f.Report(path, "want a string, got %s", kindName(v))
		return
	}
	if err := u.UnmarshalText([]byte(lit.String())); err != nil {
		f.Report(path, "%v", err)
	}
}

func (f *File) object(v *hujson.Value, into reflect.Value, path string) {
	o, ok := v.Value.(*hujson.Object)
	if !ok {
		f.Report(path, "want an object, got %s", kindName(v))
		return
	}
	fields := fieldsOf(into.Type())
	seen := map[string]bool{}
	for i := range o.Members {
		name := o.Members[i].Name.Value.(hujson.Literal).String()
		at := join(path, name)
		f.places[at] = o.Members[i].Name.StartOffset
		if seen[name] {
			f.Report(at, "stands twice")
			continue
		}
		seen[name] = true
		index, known := fields.index[name]
		if !known {
			f.Report(at, "unknown field; known here: %s", strings.Join(fields.names, ", "))
			continue
		}
		f.value(&o.Members[i].Value, into.Field(index), at)
	}
	for _, name := range fields.required {
		if !seen[name] {
			f.Report(path, "field %q is missing", name)
		}
	}
}

func (f *File) mapping(v *hujson.Value, into reflect.Value, path string) {
	o, ok := v.Value.(*hujson.Object)
	if !ok {
		f.Report(path, "want an object, got %s", kindName(v))
		return
	}
	into.Set(reflect.MakeMap(into.Type()))
	for i := range o.Members {
		name := o.Members[i].Name.Value.(hujson.Literal).String()
		at := join(path, name)
		if into.MapIndex(reflect.ValueOf(name)).IsValid() {
			f.Report(at, "stands twice")
			continue
		}
		element := reflect.New(into.Type().Elem()).Elem()
		f.value(&o.Members[i].Value, element, at)
		into.SetMapIndex(reflect.ValueOf(name), element)
	}
}

func (f *File) array(v *hujson.Value, into reflect.Value, path string) {
	a, ok := v.Value.(*hujson.Array)
	if !ok {
		f.Report(path, "want a list, got %s", kindName(v))
		return
	}
	into.Set(reflect.MakeSlice(into.Type(), len(a.Elements), len(a.Elements)))
	for i := range a.Elements {
		f.value(&a.Elements[i], into.Index(i), fmt.Sprintf("%s[%d]", path, i))
	}
}

func (f *File) literal(v *hujson.Value, into reflect.Value, path string) {
	lit, ok := v.Value.(hujson.Literal)
	switch {
	case ok && into.Kind() == reflect.String && lit.Kind() == '"':
		into.SetString(lit.String())
	case ok && into.Kind() == reflect.Bool && (lit.Kind() == 't' || lit.Kind() == 'f'):
		into.SetBool(lit.Bool())
	case ok && (into.CanInt() || into.CanUint()) && lit.Kind() == '0':
		f.integer(string(lit), into, path)
	default:
		f.Report(path, "want %s, got %s", wanted(into.Kind()), kindName(v))
	}
}

func (f *File) integer(text string, into reflect.Value, path string) {
	if into.CanUint() {
		n, err := strconv.ParseUint(text, 10, 64)
		if err != nil || into.OverflowUint(n) {
			f.Report(path, "want a whole number from 0 on, got %s", text)
			return
		}
		into.SetUint(n)
		return
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || into.OverflowInt(n) {
		f.Report(path, "want a whole number, got %s", text)
		return
	}
	into.SetInt(n)
}

func wanted(k reflect.Kind) string {
	switch k {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	default:
		return "a whole number"
	}
}

func kindName(v *hujson.Value) string {
	switch v.Value.Kind() {
	case '"':
		return "a string"
	case '0':
		return "a number"
	case 't', 'f':
		return "true or false"
	case 'n':
		return "null"
	case '{':
		return "an object"
	default:
		return "a list"
	}
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

type structFields struct {
	index    map[string]int
	names    []string
	required []string
}

func fieldsOf(t reflect.Type) structFields {
	s := structFields{index: map[string]int{}}
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		if name == "" || name == "-" {
			continue
		}
		s.index[name] = i
		s.names = append(s.names, name)
		if t.Field(i).Tag.Get("jsonc") == "required" {
			s.required = append(s.required, name)
		}
	}
	return s
}
